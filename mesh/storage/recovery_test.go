package storage

import (
	"path/filepath"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"

	"firplank/mesh/register"
)

// Only an untouched folder, or one whose first start never came to send messages, makes a voter without a
// rejoin.
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
		{"the first start was cut off before it sent messages", priorFiles{starting: true, storeFiles: true}, Recovered{}, true, true},
		{"it sent messages, and its store is empty", priorFiles{starting: true, active: true, storeFiles: true}, Recovered{}, true, false},
		{"it sent messages, and its store is gone", priorFiles{starting: true, active: true}, Recovered{}, true, false},
		{"it sent messages, and all but that mark is gone", priorFiles{active: true}, Recovered{}, true, false},
		{"files without any mark", priorFiles{storeFiles: true}, Recovered{}, true, false},
		{"a damaged state", priorFiles{}, Recovered{Corrupt: true}, true, false},
		{"a damaged state of a start that never sent messages", priorFiles{starting: true, storeFiles: true}, Recovered{Corrupt: true}, true, false},
		{"a complete state is taken as it is", priorFiles{}, Recovered{State: &register.State{}}, true, false},
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

// A store that lost its files or had bytes altered is reported as corrupt, opens empty, and reports it again at the
// next start.
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
				t.Errorf("%s, start %d: %+v may vote without rejoining", name, start, recovered)
			}
			closeStore(t, store)
		}
	}
}

// filesIn are the files of a folder and of those in it.
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
