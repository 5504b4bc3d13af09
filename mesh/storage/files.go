package storage

import (
	"fmt"
	"io"
	"io/fs"
	"path/filepath"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-faster/errors"
)

// The names in a data folder:
//
//	lock                     locked while a process has the folder open
//	starting                 empty: marks the folder of a first start
//	begun                    empty: marks the folder of a replica that may have sent messages
//	register/store-NUMBER/   the pebble store of generation NUMBER, in 16 hexadecimal digits
//	register/whole-NUMBER    empty: marks generation NUMBER as complete, that is, as holding a whole state
//	register/synced          the sequence number of the newest durable save (synced.go)
//	book/                    a store of format 1 (format1.go)
//	register.damaged/        a corrupt register that was set aside
//	book.damaged/            a corrupt store of format 1 that was set aside
//	tombstones/log-NUMBER    a log of tombstones (tombstones.go)
const (
	lockName         = "lock"
	startingName     = "starting"
	activeName       = "begun"
	registerName     = "register"
	generationPrefix = "store-"
	completePrefix   = "whole-"
	syncedName       = "synced"
	format1Name      = "book"
	damagedSuffix    = ".damaged"
	// logExtension is the extension of pebble's write-ahead logs.
	logExtension = ".log"
)

// dirMode is the mode of folders that are created.
const dirMode = 0o755

func registerDir(dir string) string { return filepath.Join(dir, registerName) }

func format1Dir(dir string) string { return filepath.Join(dir, format1Name) }

func generationDir(dir string, number uint64) string {
	return filepath.Join(registerDir(dir), numberedName(generationPrefix, number))
}

func completeMarkerPath(dir string, number uint64) string {
	return filepath.Join(registerDir(dir), numberedName(completePrefix, number))
}

func numberedName(prefix string, number uint64) string { return fmt.Sprintf("%s%016x", prefix, number) }

func exists(disk vfs.FS, path string) (bool, error) {
	_, err := disk.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrapf(err, "stat %s", path)
	}
	return true, nil
}

// listDir returns the names in a subfolder. There are none if the subfolder does not exist.
func listDir(disk vfs.FS, dir, subfolder string) ([]string, error) {
	path := filepath.Join(dir, subfolder)
	names, err := disk.List(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", path)
	}
	return names, nil
}

func readFile(disk vfs.FS, path string) ([]byte, error) {
	f, err := disk.Open(path)
	if err != nil {
		return nil, errors.Wrapf(err, "open %s", path)
	}
	defer func() { _ = f.Close() }() // it was only read
	b, err := io.ReadAll(f)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", path)
	}
	return b, nil
}

func markerExists(disk vfs.FS, dir, name string) (bool, error) {
	return exists(disk, filepath.Join(dir, name))
}

// createMarker durably creates an empty file, unless it exists.
func createMarker(disk vfs.FS, dir, name string) error {
	if found, err := markerExists(disk, dir, name); err != nil || found {
		return err
	}
	path := filepath.Join(dir, name)
	f, err := disk.Create(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		return errors.Wrapf(err, "create %s", path)
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrapf(err, "sync %s", path)
	}
	return syncDir(disk, dir)
}

// ensureDir durably creates a folder and its parents, unless they exist.
func ensureDir(disk vfs.FS, dir string) error {
	if there, err := exists(disk, dir); err != nil || there {
		return err
	}
	parent := disk.PathDir(dir)
	if parent != dir {
		if err := ensureDir(disk, parent); err != nil {
			return err
		}
	}
	if err := disk.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrapf(err, "create %s", dir)
	}
	return syncDir(disk, parent)
}

// syncDir makes the names in a folder durable.
func syncDir(disk vfs.FS, dir string) error {
	d, err := disk.OpenDir(dir)
	if err != nil {
		return errors.Wrapf(err, "open %s", dir)
	}
	defer func() { _ = d.Close() }() // only the sync matters
	if err := d.Sync(); err != nil {
		return errors.Wrapf(err, "sync %s", dir)
	}
	return nil
}

// setAside durably renames a folder, so that an operator can examine it. A folder that was set aside before is removed.
func setAside(disk vfs.FS, dir, name string) error {
	path := filepath.Join(dir, name)
	if there, err := exists(disk, path); err != nil || !there {
		return err
	}
	aside := path + damagedSuffix
	if err := disk.RemoveAll(aside); err != nil {
		return errors.Wrapf(err, "remove %s", aside)
	}
	if err := disk.Rename(path, aside); err != nil {
		return errors.Wrapf(err, "rename %s to %s", path, aside)
	}
	return syncDir(disk, dir)
}
