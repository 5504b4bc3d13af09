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

	"firplank/mesh/configversion"
)

// writeErrorInjector fails, while it is enabled, all changes to paths that contain pathPart.
type writeErrorInjector struct {
	enabled  atomic.Bool
	pathPart string
	injected atomic.Int32
}

// MaybeError implements errorfs.Injector.
func (r *writeErrorInjector) MaybeError(op errorfs.Op) error {
	if !r.enabled.Load() || op.Kind.ReadOrWrite() != errorfs.OpIsWrite || !strings.Contains(op.Path, r.pathPart) {
		return nil
	}
	r.injected.Add(1)
	return syscall.EIO
}

// String implements errorfs.Injector.
func (r *writeErrorInjector) String() string { return "write errors on " + r.pathPart }

// If changes to any of pebble's files fail, Save returns the error, the process continues, all stores are closed, and
// saves succeed again once the disk accepts changes.
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
		failedSaves := 0
		for i := uint32(2); i < 40; i++ {
			if store.Save(largeState(i)) != nil {
				failedSaves++
			}
		}
		if failedSaves == 0 || injector.injected.Load() == 0 {
			t.Errorf("%s: %d saves failed, %d errors injected", pathPart, failedSaves, injector.injected.Load())
		}
		injector.enabled.Store(false)
		if err := store.Save(largeState(50)); err != nil {
			t.Errorf("%s: %v after the disk accepts all changes again", pathPart, err)
		}
		if n := store.closingGenerations.Load(); n != 0 {
			t.Errorf("%s: %d generations are not closed", pathPart, n)
		}
		closeStore(t, store)
		if c, err := ReadFS(memory, testFolder); err != nil || c.State.Value.Version != configversion.Of(50) {
			t.Errorf("%s: %+v, %v", pathPart, c, err)
		}
	}
}

// Failed saves leave no goroutines and no folders behind.
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
				t.Fatalf("%s: save %d succeeds", pathPart, i)
			}
		}
		if after := runtime.NumGoroutine(); after > before+20 {
			t.Errorf("%s: %d goroutines, %d before the saves", pathPart, after, before)
		}
		names, err := memory.List(filepath.Join(testFolder, registerName))
		if err != nil || len(names) > 2 {
			t.Errorf("%s: the folder has %v, %v", pathPart, names, err)
		}
		closeStore(t, store)
	}
}

// stallingFS blocks when log files are closed.
type stallingFS struct {
	vfs.FS
	release chan struct{} // when closed, the calls return
}

type stallingFile struct {
	vfs.File
	release chan struct{}
}

// Create implements vfs.FS.
func (s *stallingFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	f, err := s.FS.Create(name, category)
	if err != nil || !strings.HasSuffix(name, logExtension) {
		return f, err
	}
	return &stallingFile{f, s.release}, nil
}

// Close implements vfs.File.
func (f *stallingFile) Close() error {
	<-f.release
	return f.File.Close()
}

// The number of generations that cannot be closed because the disk stalls is limited, and saves succeed again once they
// are closed.
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
			t.Fatalf("save with %d stalled generations: %v, want ErrStalled", store.closingGenerations.Load(), err)
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

// What a generation that cannot be closed still holds, such as its folder's lock, does not block the next generation.
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
		t.Error("a save succeeds without the marker of its generation")
	}
	injector.enabled.Store(false)
	if err := store.Save(testState(2)); err != nil || store.closingGenerations.Load() != 1 {
		t.Errorf("save with %d stalled generations: %v", store.closingGenerations.Load(), err)
	}
	if c, err := ReadFS(disk, testFolder); err != nil || c.State.Value.Version != configversion.Of(2) {
		t.Errorf("%+v, %v", c, err)
	}
	close(disk.release)
	closeStore(t, store)
}
