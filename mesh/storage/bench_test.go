package storage

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"firplank/mesh/config"
	"firplank/mesh/configversion"
	"firplank/mesh/register"
)

// countingFS counts the bytes that are written to files.
type countingFS struct {
	vfs.FS
	bytesWritten int64
}

type countingFile struct {
	vfs.File
	fs *countingFS
}

func (f countingFile) Write(b []byte) (int, error) {
	f.fs.bytesWritten += int64(len(b))
	return f.File.Write(b)
}

func (f countingFile) WriteAt(b []byte, at int64) (int, error) {
	f.fs.bytesWritten += int64(len(b))
	return f.File.WriteAt(b, at)
}

// Create implements vfs.FS.
func (c *countingFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := c.FS.Create(name, category)
	return countingFile{f, c}, err
}

// ReuseForWrite implements vfs.FS.
func (c *countingFS) ReuseForWrite(from, to string, category vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := c.FS.ReuseForWrite(from, to, category)
	return countingFile{f, c}, err
}

// OpenReadWrite implements vfs.FS.
func (c *countingFS) OpenReadWrite(name string, category vfs.DiskWriteCategory, o ...vfs.OpenOption) (vfs.File, error) {
	f, err := c.FS.OpenReadWrite(name, category, o...)
	return countingFile{f, c}, err
}

// folderSize returns the total size of the files in a folder and its subfolders, in bytes.
func folderSize(disk vfs.FS, folder string) (size int64) {
	names, _ := disk.List(folder)
	for _, name := range names {
		path := filepath.Join(folder, name)
		info, err := disk.Stat(path)
		switch {
		case err != nil:
		case info.IsDir():
			size += folderSize(disk, path)
		default:
			size += info.Size()
		}
	}
	return size
}

const (
	changeCount = 2000
	routeCount  = 1700
)

// packedConfiguration returns a packed configuration. Versions differ in the weights of some routes.
func packedConfiguration(version int) []byte {
	rng := rand.New(rand.NewPCG(uint64(version), 1))
	var list []string
	for i := range routeCount {
		share := 90
		if rng.IntN(50) == 0 {
			share = 1 + rng.IntN(98)
		}
		list = append(list, fmt.Sprintf(`{"name":"route-%d","routeKind":"safe","targetS":0.%d,"precedence":%d,"sorting":{"lanePrefix":"/%x/"},`+
			`"dispatch":{"split":[{"line":"service-%d","share":%d},{"line":"service-%d","share":%d}],"deadlineS":%d,"attempts":2}}`,
			i, 1+i%9, i%4, uint32(i)*2654435761, i%60, share, (i+7)%60, 100-share, 1+i%5))
	}
	return config.Pack([]byte(`{"gates":[{"depot":"a.example","regulations":[` + strings.Join(list, ",") + `]}]}`))
}

// applyChange saves the states of an acceptor in a round that changes the configuration: a promise, then a value.
func applyChange(s *register.State, version int, body []byte, save func(*register.State) error) error {
	ballot := register.Ballot{Number: uint64(version), Proposer: "10.1.0.13:7620"}
	s.Promised = ballot
	if err := save(s); err != nil {
		return err
	}
	s.Accepted = ballot
	s.Value.Version, s.Value.Body = configversion.Of(uint32(version)), body
	s.Value.History = s.Value.History.With(register.Record{Version: configversion.Of(uint32(version)), Content: register.ContentOf(body)})
	return save(s)
}

// BenchmarkChanges saves 2,000 changes of a configuration of 1,700 routes, in format 1 and in format 2, on one disk and in one run.
func BenchmarkChanges(b *testing.B) {
	bodies := make([][]byte, 40)
	for i := range bodies {
		bodies[i] = packedConfiguration(i)
	}
	b.Logf("a packed configuration has %d bytes", len(bodies[0]))
	b.Run("format 1", func(b *testing.B) {
		benchmark(b, bodies, func(b *testing.B, disk vfs.FS, folder string) (func(*register.State) error, func() error) {
			cache := pebble.NewCache(1 << 20)
			defer cache.Unref()
			db, err := pebble.Open(format1Dir(folder), &pebble.Options{
				FS:                 disk,
				Cache:              cache,
				MemTableSize:       4 << 20,
				MaxOpenFiles:       32,
				Logger:             pebbleLogger{},
				FormatMajorVersion: pebble.FormatNewest,
			})
			if err != nil {
				b.Fatal(err)
			}
			return func(s *register.State) error { return db.Set(format1Key, encodeFormat1(s), pebble.Sync) }, db.Close
		})
	})
	b.Run("format 2", func(b *testing.B) {
		benchmark(b, bodies, func(b *testing.B, disk vfs.FS, folder string) (func(*register.State) error, func() error) {
			v, _, err := OpenFS(disk, folder)
			if err != nil {
				b.Fatal(err)
			}
			return func(s *register.State) error {
				err := v.Save(s)
				v.RecordSynced()
				return err
			}, v.Close
		})
	})
}

// opener opens a store in a folder, and returns functions that save to it and close it.
type opener func(b *testing.B, disk vfs.FS, folder string) (save func(*register.State) error, end func() error)

func benchmark(b *testing.B, bodies [][]byte, open opener) {
	for b.Loop() {
		disk := &countingFS{FS: vfs.Default}
		folder := b.TempDir()
		save, closeStore := open(b, disk, folder)
		members := []string{"10.1.0.13:7620", "10.2.0.11:7620", "10.3.0.11:7620"}
		state := &register.State{Voter: true, Value: register.Value{Members: members}}
		var maxFolderBytes int64
		for i := 1; i <= changeCount; i++ {
			if err := applyChange(state, i, bodies[i%len(bodies)], save); err != nil {
				b.Fatal(err)
			}
			if i%10 == 0 {
				maxFolderBytes = max(maxFolderBytes, folderSize(disk, folder))
			}
		}
		if err := closeStore(); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(disk.bytesWritten)/changeCount, "written-B/change")
		b.ReportMetric(float64(maxFolderBytes), "most-disk-B")
	}
}
