package catchup

import (
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
)

const (
	// maxOperationsUntilLoss bounds the number of operations before a pending power loss.
	maxOperationsUntilLoss = 6
	// renamedName is the name under which pebble syncs files that it then renames.
	renamedName = "next"
)

// disk is a file system in memory that may reject changes as if it were full, and may lose power at any change. It
// implements errorfs.Injector.
type disk struct {
	*vfs.MemFS
	rng  *rand.Rand
	full bool

	powerLossPending    bool
	operationsUntilLoss int
	afterPowerLoss      *disk // state that the power loss left; nil before it

	syncedForRename []byte // last synced content of a file that is to be renamed
}

func newDisk(rng *rand.Rand) *disk {
	return &disk{MemFS: vfs.NewCrashableMem(), rng: rng}
}

// MaybeError implements errorfs.Injector.
func (d *disk) MaybeError(op errorfs.Op) error {
	if op.Kind.ReadOrWrite() == errorfs.OpIsRead {
		return nil
	}
	if d.full {
		return syscall.ENOSPC
	}
	if op.Kind == errorfs.OpFileSync && filepath.Base(op.Path) == renamedName {
		defer func() { d.syncedForRename = slices.Clone(content(d.MemFS, op.Path)) }()
	}
	if d.powerLossPending && d.afterPowerLoss == nil {
		if d.operationsUntilLoss == 0 {
			d.afterPowerLoss = d.powerLoss()
		}
		d.operationsUntilLoss--
	}
	return nil
}

// String implements errorfs.Injector.
func (d *disk) String() string { return "a disk" }

func (d *disk) hasLostPower() bool { return d.afterPowerLoss != nil }

// losePowerSoon schedules a power loss within the next operations.
func (d *disk) losePowerSoon() {
	d.powerLossPending = true
	d.operationsUntilLoss = d.rng.IntN(maxOperationsUntilLoss)
}
