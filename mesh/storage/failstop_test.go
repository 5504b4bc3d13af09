package storage

import (
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/go-faster/errors"
)

// refuser refuses, while it is on, the changes whose path contains a word.
type writeErrorInjector struct {
	enabled  atomic.Bool
	pathPart string
	hits     atomic.Int32
}

// MaybeError implements errorfs.Injector.
func (r *writeErrorInjector) MaybeError(op errorfs.Op) error {
	if !r.enabled.Load() || op.Kind.ReadOrWrite() != errorfs.OpIsWrite || !strings.Contains(op.Path, r.pathPart) {
		return nil
	}
	r.hits.Add(1)
	return syscall.EIO
}

// String implements errorfs.Injector.
func (r *writeErrorInjector) String() string { return "refuses " + r.pathPart }

// Whichever of pebble's files the disk refuses, Save returns the error, the process goes on, all stores close, and the
// state before is still there.
func TestSaveSurvivesWriteErrorsInAnyPebbleFile(t *testing.T) {
	pathParts := []string{"MANIFEST", ".log", ".sst", "marker", "dbtmp", "LOCK", generationPrefix, completePrefix}
	for _, pathPart := range pathParts {
		injector := &writeErrorInjector{pathPart: pathPart}
		memory := vfs.NewMem()
		store, _, err := OpenFS(errorfs.Wrap(memory, injector), testFolder)
		if err != nil {
			t.Fatal(err)
		}
		store.memTableSize, store.rotationBytes = 40_000, 60_000
		if err := store.Save(largeState(1)); err != nil {
			t.Fatal(err)
		}
		injector.enabled.Store(true)
		refused := 0
		for i := uint32(2); i < 40; i++ {
			if store.Save(largeState(i)) != nil {
				refused++
			}
		}
		if refused == 0 || injector.hits.Load() == 0 {
			t.Errorf("%s: %d saves refused, of %d hits", pathPart, refused, injector.hits.Load())
		}
		injector.enabled.Store(false)
		if err := store.Save(largeState(50)); err != nil {
			t.Errorf("%s: %v once the disk takes all again", pathPart, err)
		}
		if n := store.closingGenerations.Load(); n != 0 {
			t.Errorf("%s: %d stores are not closed", pathPart, n)
		}
		closeStore(t, store)
		if c, err := ReadFS(memory, testFolder); err != nil || c.State.Value.Version != 50 {
			t.Errorf("%s: %+v, %v", pathPart, c, err)
		}
	}
}

// Refused saves leave no goroutine and no folder behind.
func TestFailedSavesLeakNoGoroutinesOrFolders(t *testing.T) {
	for _, pathPart := range []string{"MANIFEST", ".log", completePrefix} {
		injector := &writeErrorInjector{pathPart: pathPart}
		memory := vfs.NewMem()
		store, _, err := OpenFS(errorfs.Wrap(memory, injector), testFolder)
		if err != nil {
			t.Fatal(err)
		}
		injector.enabled.Store(true)
		before := runtime.NumGoroutine()
		for i := range uint32(100) {
			if store.Save(testState(i)) == nil {
				t.Fatalf("%s: save %d is taken", pathPart, i)
			}
		}
		if after := runtime.NumGoroutine(); after > before+20 {
			t.Errorf("%s: %d goroutines, and %d before", pathPart, after, before)
		}
		names, err := memory.List(filepath.Join(testFolder, registerName))
		if err != nil || len(names) > 2 {
			t.Errorf("%s: left are %v, %v", pathPart, names, err)
		}
		closeStore(t, store)
	}
}

// staller does not return from closing logs until it is released.
type stallingFS struct {
	vfs.FS
	release chan struct{} // closed: it returns
}

type stalledFile struct {
	vfs.File
	release chan struct{}
}

// Create implements vfs.FS.
func (s *stallingFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := s.FS.Create(name, category)
	if err != nil || !strings.HasSuffix(name, logExtension) {
		return f, err
	}
	return &stalledFile{f, s.release}, nil
}

// Close implements vfs.File.
func (f *stalledFile) Close() error {
	<-f.release
	return f.File.Close()
}

// Stores that the disk does not let close are bounded, and saving goes on once it does.
func TestStalledGenerationsAreBounded(t *testing.T) {
	disk := &stallingFS{vfs.NewMem(), make(chan struct{})}
	store, _, err := OpenFS(disk, testFolder)
	if err != nil {
		t.Fatal(err)
	}
	store.closeTimeout = 0
	for i := range uint32(maxClosingGenerations) {
		if err := store.Save(testState(i)); err != nil {
			t.Fatalf("save %d: %v", i, err)
		}
		store.abandon()
	}
	for range 3 {
		if err := store.Save(testState(40)); !errors.Is(err, ErrStalled) {
			t.Fatalf("with %d stores stalled: %v", store.closingGenerations.Load(), err)
		}
	}
	close(disk.release)
	for store.closingGenerations.Load() == maxClosingGenerations {
		runtime.Gosched()
	}
	store.closeTimeout = time.Second
	if err := store.Save(testState(41)); err != nil {
		t.Error(err)
	}
	closeStore(t, store)
}

// What a store that does not close still holds, its folder's lock above all, does not stop the next one.
func TestStalledGenerationDoesNotBlockTheNext(t *testing.T) {
	injector := &writeErrorInjector{pathPart: completePrefix}
	disk := &stallingFS{errorfs.Wrap(vfs.NewMem(), injector), make(chan struct{})}
	store, _, err := OpenFS(disk, testFolder)
	if err != nil {
		t.Fatal(err)
	}
	store.closeTimeout = 0
	injector.enabled.Store(true)
	if store.Save(testState(1)) == nil {
		t.Error("a generation without its mark is taken")
	}
	injector.enabled.Store(false)
	if err := store.Save(testState(2)); err != nil || store.closingGenerations.Load() != 1 {
		t.Errorf("beside %d stalled stores: %v", store.closingGenerations.Load(), err)
	}
	if c, err := ReadFS(disk, testFolder); err != nil || c.State.Value.Version != 2 {
		t.Errorf("%+v, %v", c, err)
	}
	close(disk.release)
	closeStore(t, store)
}
