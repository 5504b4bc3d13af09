package storage

import (
	"path/filepath"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"

	"firplank/mesh/register"
)

// Only a folder that was not used before, or whose first start ended before it sent messages, lets a replica vote
// without a rejoin.
func TestOnlyUnusedFolderVotesWithoutRejoin(t *testing.T) {
	for _, c := range []struct {
		name   string
		before priorFiles
		found  Recovered
		first  bool
		want   bool
	}{
		{"an empty folder at the first start", priorFiles{}, Recovered{}, true, true},
		{"an empty folder at a later start", priorFiles{}, Recovered{}, false, false},
		{"the first start ended before it sent messages", priorFiles{starting: true, storeFiles: true}, Recovered{}, true, true},
		{"messages were sent, and the store is empty", priorFiles{starting: true, active: true, storeFiles: true}, Recovered{}, true, false},
		{"messages were sent, and the store is missing", priorFiles{starting: true, active: true}, Recovered{}, true, false},
		{"messages were sent, and only that marker is left", priorFiles{active: true}, Recovered{}, true, false},
		{"store files without any marker", priorFiles{storeFiles: true}, Recovered{}, true, false},
		{"a damaged state", priorFiles{}, Recovered{Corrupt: true}, true, false},
		{"a damaged state before any message was sent", priorFiles{starting: true, storeFiles: true}, Recovered{Corrupt: true}, true, false},
		{"a complete state", priorFiles{}, Recovered{State: &register.State{}}, true, false},
	} {
		c.found.EarlierIncarnation = c.before.earlierIncarnation()
		if got := c.found.MayVoteWithoutRejoin(c.first); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func newActiveStore(t *testing.T) *vfs.MemFS {
	fs := vfs.NewCrashableMem()
	store, recovered, err := OpenFS(fs, testFolder)
	if err != nil || !recovered.MayVoteWithoutRejoin(true) {
		t.Fatalf("%+v, %v", recovered, err)
	}
	for version := uint32(1); version < 4; version++ {
		if err := store.Save(testState(version)); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.MarkActive(); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	return fs
}

// A store whose files were removed or altered opens without a state, and its replica may not vote without a rejoin, at
// this start and at the next one.
func TestDamagedStoreIsNotTakenForFirstStart(t *testing.T) {
	for name, damage := range map[string]func(fs *vfs.MemFS, file string) error{
		"all files removed":     func(fs *vfs.MemFS, file string) error { return fs.Remove(file) },
		"all files cut to none": func(fs *vfs.MemFS, file string) error { return writeFile(fs, file, nil) },
		"all bytes altered": func(fs *vfs.MemFS, file string) error {
			b, err := fs.UnsafeGetFileDataBuffer(file)
			for i := range b {
				b[i] ^= 0x55
			}
			return err
		},
	} {
		fs := newActiveStore(t)
		for _, file := range listFiles(t, fs, filepath.Join(testFolder, registerName)) {
			if err := damage(fs, file); err != nil {
				t.Fatal(err)
			}
		}
		for start := range 2 {
			store, recovered, err := OpenFS(fs, testFolder)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if recovered.State != nil || recovered.MayVoteWithoutRejoin(true) {
				t.Errorf("%s, start %d: %+v may vote without a rejoin", name, start, recovered)
			}
			closeStore(t, store)
		}
	}
}

// listFiles returns the files in a folder and its subfolders.
func listFiles(t *testing.T, fs vfs.FS, dir string) (files []string) {
	t.Helper()
	names, err := fs.List(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		path := filepath.Join(dir, name)
		info, err := fs.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		if info.IsDir() {
			files = append(files, listFiles(t, fs, path)...)
		} else {
			files = append(files, path)
		}
	}
	return files
}

func writeFile(fs vfs.FS, file string, b []byte) error {
	f, err := fs.Create(file, vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	if _, err := f.Write(b); err != nil {
		return err
	}
	return f.Close()
}
