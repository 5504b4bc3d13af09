package catchup

import (
	"bytes"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// blockSize is the unit, in bytes, of a write that survives a power loss entirely or not at all.
const blockSize = 512

// powerLoss returns a possible state of the disk after a power loss now. Of the unsynced names and blocks all survive,
// none, or each with probability one half.
func (d *disk) powerLoss() *disk {
	synced := d.CrashClone(vfs.CrashCloneCfg{})
	written := d.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 100, RNG: rand.New(rand.NewPCG(1, 1))})
	left := newDisk(d.rng)
	percent := []int{0, 50, 50, 100}[d.rng.IntN(4)]
	left.syncedForRename = d.syncedForRename
	left.merge(synced, written, "/", func() bool { return d.rng.IntN(100) < percent })
	return left
}

// merge copies a directory: what was synced, and the unsynced parts that survive.
func (d *disk) merge(synced, written *vfs.MemFS, dir string, survives func() bool) {
	if err := d.MkdirAll(dir, 0o755); err != nil {
		panic(err)
	}
	syncedNames, _ := synced.List(dir) // no names if the directory does not exist
	writtenNames, _ := written.List(dir)
	names := slices.Concat(syncedNames, writtenNames)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		path := filepath.Join(dir, name)
		isSynced, isWritten := slices.Contains(syncedNames, name), slices.Contains(writtenNames, name)
		// A new name may be lost, and a removed one may reappear.
		if isSynced != isWritten && !survives() == isWritten {
			continue
		}
		if isDirectory(synced, path) || isDirectory(written, path) {
			d.merge(synced, written, path, survives)
			continue
		}
		before, after := content(synced, path), content(written, path)
		if !isSynced && bytes.HasPrefix(after, d.syncedForRename) { // synced under the name before the rename
			before = d.syncedForRename
		}
		d.put(path, mergeBlocks(before, after, survives))
	}
	syncAndClose(d.OpenDir(dir))
}

// mergeBlocks returns a file's synced bytes with the later written blocks that survive.
func mergeBlocks(synced, written []byte, survives func() bool) []byte {
	out := slices.Clone(synced)
	for i := 0; i < len(written); i += blockSize {
		end := min(i+blockSize, len(written))
		if end <= len(synced) && bytes.Equal(synced[i:end], written[i:end]) {
			continue
		}
		if !survives() {
			continue
		}
		for len(out) < end {
			out = append(out, 0)
		}
		copy(out[i:], written[i:end])
	}
	return out
}

func isDirectory(fs *vfs.MemFS, path string) bool {
	info, err := fs.Stat(path)
	return err == nil && info.IsDir()
}

// content returns a file's bytes, or nil if it does not exist.
func content(fs *vfs.MemFS, path string) []byte {
	if _, err := fs.Stat(path); err != nil {
		return nil
	}
	b, err := fs.UnsafeGetFileDataBuffer(path)
	if err != nil {
		panic(err)
	}
	return b
}

func (d *disk) put(path string, b []byte) {
	f, err := d.Create(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		panic(err)
	}
	if _, err := f.Write(b); err != nil {
		panic(err)
	}
	syncAndClose(f, nil)
}

// syncAndClose takes the results of opening a file, syncs and closes it. It panics on errors, which do not occur in memory.
func syncAndClose(f vfs.File, err error) {
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = f.Close()
	}
	if err != nil {
		panic(err)
	}
}
