package storage

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"firplank/mesh/register"
)

// powerLossInjector captures images of what a power loss may leave on disk before each operation that changes the disk:
// none of the data that was not synced, all of it, or a random part of its blocks and names.
type powerLossInjector struct {
	mu     sync.Mutex // pebble flushes in the background
	disk   *vfs.MemFS
	images []*vfs.MemFS
	random *rand.Rand
}

// MaybeError implements errorfs.Injector. It never returns an error.
func (p *powerLossInjector) MaybeError(op errorfs.Op) error {
	if op.Kind.ReadOrWrite() == errorfs.OpIsRead {
		return nil
	}
	p.captureImages()
	return nil
}

func (p *powerLossInjector) captureImages() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, percent := range []int{0, 30, 50, 70, 100} {
		p.images = append(p.images, p.disk.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent, RNG: p.random}))
	}
}

// takeImages returns and removes the images captured so far.
func (p *powerLossInjector) takeImages() []*vfs.MemFS {
	p.mu.Lock()
	defer p.mu.Unlock()
	images := p.images
	p.images = nil
	return images
}

// String implements errorfs.Injector.
func (p *powerLossInjector) String() string { return "power loss" }

// A power loss at any write, sync, rename or removal leaves the state that was saved last or the one that was being saved,
// never an older or a corrupt one. Before the first save, it leaves a folder that may still vote without a rejoin.
func TestPowerLossAtAnyWriteKeepsLastSave(t *testing.T) {
	t.Run("new generations", func(t *testing.T) {
		v := testPowerLoss(t, 15, 24_000, 5)
		if v.newestNumber < 5 {
			t.Errorf("%d generations in total: too few rotations were tested", v.newestNumber)
		}
	})
	t.Run("flushes in one generation", func(t *testing.T) {
		v := testPowerLoss(t, 16, 1<<20, 100)
		if n := v.generation.db.Metrics().Flush.Count; n == 0 || v.newestNumber != 1 {
			t.Errorf("%d flushes, %d generations", n, v.newestNumber)
		}
	})
}

// testPowerLoss saves a number of states, and checks what power losses during each save leave. A generation is rotated
// beyond a size, and abandoned after a number of saves, as after an error.
func testPowerLoss(t *testing.T, saves uint32, rotationBytes int64, abandonEvery uint32) *Store {
	random := rand.New(rand.NewPCG(1, 2))
	injector := &powerLossInjector{disk: vfs.NewCrashableMem(), random: random}
	store, _, err := OpenFS(errorfs.Wrap(injector.disk, injector), testFolder)
	if err != nil {
		t.Fatal(err)
	}
	store.rotationBytes, store.memTableSize = rotationBytes, 40_000
	powerLosses := 0
	for i := uint32(0); i < saves; i++ {
		state := largeState(i / 3)
		state.Promised.Number = uint64(i + 1)
		if err := store.Save(state); err != nil {
			t.Fatal(err)
		}
		store.RecordSynced()
		if i%abandonEvery == abandonEvery-1 {
			store.abandon()
		}
		for _, disk := range injector.takeImages() {
			powerLosses++
			checkRecovered(t, disk, uint64(i))
		}
	}
	if err := store.MarkActive(); err != nil {
		t.Fatal(err)
	}
	injector.takeImages()
	injector.captureImages()
	for _, disk := range injector.takeImages() {
		if prior, err := findPriorFiles(disk, testFolder); err != nil || !prior.earlierIncarnation() {
			t.Errorf("the marker of an earlier incarnation is lost: %+v, %v", prior, err)
		}
	}
	t.Logf("%d power losses, %d generations", powerLosses, store.newestNumber)
	return store
}

// largeState returns a state that takes several blocks of the disk, so that one in the middle may be missing.
func largeState(version uint32) *register.State {
	s := testState(version)
	s.Value.Body = bytes.Repeat(s.Value.Body, 4)
	return s
}

// checkRecovered checks that a disk holds the state with the number lastSaved or the next one.
func checkRecovered(t *testing.T, disk *vfs.MemFS, lastSaved uint64) {
	t.Helper()
	store, recovered, err := OpenFS(disk, testFolder)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore(t, store)
	switch {
	case recovered.State == nil && lastSaved == 0:
		if !recovered.MayVoteWithoutRejoin(true) {
			t.Errorf("power loss before the first save: %+v", recovered)
		}
	case recovered.State == nil:
		t.Errorf("state %d was saved, recovered %+v", lastSaved, recovered)
	default:
		n := recovered.State.Promised.Number
		if n != lastSaved && n != lastSaved+1 || !reflect.DeepEqual(recovered.State.Value, largeState(uint32((n-1)/3)).Value) {
			t.Errorf("state %d was saved, recovered state %d with version %d", lastSaved, n, recovered.State.Value.Version)
		}
	}
}

// A power loss at any write, sync or rename of a first start leaves the folder of a voter, which has its first state or
// may still vote without a rejoin.
func TestPowerLossDuringActivationKeepsVoter(t *testing.T) {
	injector := &powerLossInjector{disk: vfs.NewCrashableMem(), random: rand.New(rand.NewPCG(3, 4))}
	store, recovered, err := OpenFS(errorfs.Wrap(injector.disk, injector), testFolder)
	if err != nil || !recovered.MayVoteWithoutRejoin(true) {
		t.Fatalf("%+v, %v", recovered, err)
	}
	if err := store.Activate(testState(0)); err != nil {
		t.Fatal(err)
	}
	injector.captureImages()
	images := injector.takeImages()
	withState := 0
	for i, disk := range images {
		reopened, recovered, err := OpenFS(disk, testFolder)
		if err != nil {
			t.Fatal(err)
		}
		if recovered.State != nil {
			withState++
		} else if !recovered.MayVoteWithoutRejoin(true) {
			t.Errorf("power loss %d of %d: %+v", i, len(images), recovered)
		}
		closeStore(t, reopened)
	}
	closeStore(t, store)
	if withState == 0 || withState == len(images) {
		t.Errorf("%d of %d power losses left a state, want some but not all", withState, len(images))
	}
}
