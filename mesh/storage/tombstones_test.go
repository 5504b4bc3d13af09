package storage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"firplank/mesh/tombstone"
)

const testRetention = time.Minute

// recovered opens the log of tombstones on a disk.
func recoveredTombstones(t *testing.T, disk vfs.FS, now time.Time) (*TombstoneLog, RecoveredTombstones) {
	t.Helper()
	l, recovered, err := openTombstonesFS(disk, testFolder, testRetention, func() time.Time { return now })
	if err != nil {
		t.Fatal(err)
	}
	return l, recovered
}

func numbered(i int) tombstone.Aged {
	return tombstone.Aged{Tombstone: tombstone.Tombstone{Node: fmt.Sprint("node-", i%3), Server: fmt.Sprint("i-", i)}}
}

// Guards against an acknowledged shutdown that is lost with the power: after a power loss at any write, sync or removal the log has every
// tombstone whose append had returned, and the last mark.
func TestPowerLossKeepsAppendedTombstones(t *testing.T) {
	injector := &powerLossInjector{disk: vfs.NewCrashableMem(), random: rand.New(rand.NewPCG(5, 6))}
	l, recovered := recoveredTombstones(t, errorfs.Wrap(injector.disk, injector), time.UnixMilli(0))
	if recovered.Found || recovered.Corrupt {
		t.Fatalf("an empty folder: %+v", recovered)
	}
	injector.takeImages()
	const appends = 40
	for i := range appends {
		mark := tombstone.NoMark
		if i == appends/2 {
			mark = tombstone.MarkComplete
		}
		if i%10 == 9 {
			l.closeFile() // the next append creates a log
		}
		if err := l.Append([]tombstone.Aged{numbered(i)}, mark); err != nil {
			t.Fatal(err)
		}
		for _, disk := range injector.takeImages() { // of the time before this append had returned
			checkTombstones(t, disk, i, i > appends/2)
		}
	}
	injector.captureImages()
	for _, disk := range injector.takeImages() {
		checkTombstones(t, disk, appends, true)
	}
}

// checkTombstones checks that a disk has the tombstones below a number, and the mark.
func checkTombstones(t *testing.T, disk vfs.FS, count int, complete bool) {
	t.Helper()
	_, recovered := recoveredTombstones(t, disk, time.UnixMilli(0))
	found := map[tombstone.Tombstone]bool{}
	for _, stored := range recovered.Tombstones {
		found[stored.Tombstone] = true
	}
	for i := range count {
		if !found[numbered(i).Tombstone] {
			t.Fatalf("%v was appended and is lost; recovered %+v", numbered(i), recovered)
		}
	}
	if count > 0 && (!recovered.Found || complete && !recovered.Complete) {
		t.Fatalf("after %d appends: %+v", count, recovered)
	}
}

// An append that the disk refuses is written again by the next one, and expired tombstones are dropped with the next log.
func TestTombstonesSurviveWriteErrors(t *testing.T) {
	memory := vfs.NewMem()
	refuse := false
	injector := errorfs.InjectorFunc(func(op errorfs.Op) error {
		if refuse && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
			return errorfs.ErrInjected
		}
		return nil
	})
	now := time.UnixMilli(0)
	l, _, err := openTombstonesFS(errorfs.Wrap(memory, injector), testFolder, testRetention, func() time.Time { return now })
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Append([]tombstone.Aged{numbered(0)}, tombstone.NoMark); err != nil {
		t.Fatal(err)
	}
	refuse = true
	if err := l.Append([]tombstone.Aged{numbered(1)}, tombstone.NoMark); err == nil {
		t.Fatal("a refused write is reported as done")
	}
	refuse = false
	now = now.Add(testRetention)
	if err := l.Append([]tombstone.Aged{numbered(2)}, tombstone.NoMark); err != nil {
		t.Fatal(err)
	}
	checkTombstones(t, memory, 3, false)
	now = now.Add(testRetention)
	l.closeFile()
	if err := l.Append(nil, tombstone.MarkIncomplete); err != nil {
		t.Fatal(err)
	}
	if _, recovered := recoveredTombstones(t, memory, now); len(recovered.Tombstones) != 1 || recovered.Complete {
		t.Errorf("%+v, want the last tombstone alone", recovered)
	}
}

// A log without its whole set is not used, and shows that the disk may have lost tombstones.
func TestTruncatedTombstonesAreCorrupt(t *testing.T) {
	memory := vfs.NewMem()
	l, _ := recoveredTombstones(t, memory, time.UnixMilli(0))
	if err := l.Append([]tombstone.Aged{numbered(0)}, tombstone.MarkComplete); err != nil {
		t.Fatal(err)
	}
	f, err := memory.Create(l.path(l.number), vfs.WriteCategoryUnspecified)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	if _, recovered := recoveredTombstones(t, memory, time.UnixMilli(0)); recovered.Found || !recovered.Corrupt || recovered.Complete {
		t.Errorf("%+v", recovered)
	}
}
