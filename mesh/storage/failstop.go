package storage

import (
	"io"
	"os"
	"sync"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// failStopFS is the file system that pebble uses for one generation. It passes changes on to the disk until the first
// one fails. Afterwards it discards all changes and reports success, so that pebble, which cannot undo its own steps,
// completes them and can be closed. The generation is then abandoned because of that error. Closing files and locks
// always reaches the disk. It is safe for concurrent use, as pebble flushes in the background.
type failStopFS struct {
	vfs.FS
	mu  sync.Mutex
	err error
}

// fail makes the file system discard all further changes. The first error is kept.
func (fs *failStopFS) fail(err error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.err == nil {
		fs.err = err
	}
}

// failure returns the error since which changes are discarded, or nil.
func (fs *failStopFS) failure() error {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.err
}

// mutate performs an operation that changes the disk, unless changes are discarded.
func (fs *failStopFS) mutate(operation func() error) {
	if fs.failure() != nil {
		return
	}
	if err := operation(); err != nil {
		fs.fail(err)
	}
}

// openFile opens a file for writing. After a failure, the file is in memory and its content is discarded.
func (fs *failStopFS) openFile(open func() (vfs.File, error)) (vfs.File, error) {
	var f vfs.File
	fs.mutate(func() (err error) {
		f, err = open()
		return err
	})
	if fs.failure() != nil && f == nil {
		f, _ = vfs.NewMem().Create("nowhere", vfs.WriteCategoryUnspecified) // never fails, as it is in memory
	}
	return &failStopFile{File: f, disk: fs}, nil
}

// Create implements vfs.FS.
func (fs *failStopFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return fs.openFile(func() (vfs.File, error) { return fs.FS.Create(name, category) })
}

// ReuseForWrite implements vfs.FS.
func (fs *failStopFS) ReuseForWrite(from, to string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return fs.openFile(func() (vfs.File, error) { return fs.FS.ReuseForWrite(from, to, category) })
}

// OpenReadWrite implements vfs.FS.
func (fs *failStopFS) OpenReadWrite(name string, category vfs.DiskWriteCategory, o ...vfs.OpenOption) (vfs.File, error) {
	return fs.openFile(func() (vfs.File, error) { return fs.FS.OpenReadWrite(name, category, o...) })
}

// OpenDir implements vfs.FS.
func (fs *failStopFS) OpenDir(name string) (vfs.File, error) {
	return fs.openFile(func() (vfs.File, error) { return fs.FS.OpenDir(name) })
}

// Link implements vfs.FS.
func (fs *failStopFS) Link(from, to string) error {
	fs.mutate(func() error { return fs.FS.Link(from, to) })
	return nil
}

// Remove implements vfs.FS.
func (fs *failStopFS) Remove(name string) error {
	fs.mutate(func() error { return fs.FS.Remove(name) })
	return nil
}

// RemoveAll implements vfs.FS.
func (fs *failStopFS) RemoveAll(name string) error {
	fs.mutate(func() error { return fs.FS.RemoveAll(name) })
	return nil
}

// Rename implements vfs.FS.
func (fs *failStopFS) Rename(from, to string) error {
	fs.mutate(func() error { return fs.FS.Rename(from, to) })
	return nil
}

// MkdirAll implements vfs.FS.
func (fs *failStopFS) MkdirAll(dir string, mode os.FileMode) error {
	fs.mutate(func() error { return fs.FS.MkdirAll(dir, mode) })
	return nil
}

// Lock implements vfs.FS.
func (fs *failStopFS) Lock(name string) (lock io.Closer, err error) {
	fs.mutate(func() (err error) {
		lock, err = fs.FS.Lock(name)
		return err
	})
	if lock == nil {
		return io.NopCloser(nil), nil
	}
	return lock, nil
}

// Unwrap implements vfs.FS.
func (fs *failStopFS) Unwrap() vfs.FS { return fs.FS }

// failStopFile is a file of a failStopFS.
type failStopFile struct {
	vfs.File
	disk *failStopFS
}

// Write implements vfs.File.
func (f *failStopFile) Write(b []byte) (int, error) {
	f.disk.mutate(func() error {
		_, err := f.File.Write(b)
		return err
	})
	return len(b), nil
}

// WriteAt implements vfs.File.
func (f *failStopFile) WriteAt(b []byte, at int64) (int, error) {
	f.disk.mutate(func() error {
		_, err := f.File.WriteAt(b, at)
		return err
	})
	return len(b), nil
}

// Preallocate implements vfs.File. Its errors are ignored, as it is only a hint: if there is no space, the writes will fail.
func (f *failStopFile) Preallocate(offset, length int64) error {
	f.disk.mutate(func() error {
		_ = f.File.Preallocate(offset, length)
		return nil
	})
	return nil
}

// Sync implements vfs.File.
func (f *failStopFile) Sync() error {
	f.disk.mutate(f.File.Sync)
	return nil
}

// SyncData implements vfs.File.
func (f *failStopFile) SyncData() error {
	f.disk.mutate(f.File.SyncData)
	return nil
}

// SyncTo implements vfs.File.
func (f *failStopFile) SyncTo(length int64) (complete bool, err error) {
	f.disk.mutate(func() (err error) {
		complete, err = f.File.SyncTo(length)
		return err
	})
	return complete, nil
}

// Close implements vfs.File.
func (f *failStopFile) Close() error {
	if err := f.File.Close(); err != nil {
		f.disk.fail(err)
	}
	return nil
}

// Fd implements vfs.File. It returns no descriptor, so that nothing bypasses the failStopFS.
func (f *failStopFile) Fd() uintptr { return vfs.InvalidFd }
