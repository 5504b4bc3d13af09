// Package updates applies a parent's updates to the wanted state of a sidecar: the configuration, the directory of
// sidecars and the list of control machines. It has no sockets and no clock. An update has one of each, applied by
// Rollouts, Entries, ControlMachines and Config in this order.
package updates

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/codec"
	"firplank/mesh/config"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/wire"
)

// Errors of Config. After either, the sidecar needs the full text from its parent.
var (
	// ErrCorrupt means that the full text cannot be decompressed.
	ErrCorrupt = errors.New("configuration cannot be unpacked")
	// ErrDeltaMismatch means that the deltas start from another text than the present one, or are corrupt.
	ErrDeltaMismatch = errors.New("configuration deltas do not apply")
)

// Texts decompresses and interns the texts of configurations, so that many sidecars in one process (lab/scale) can
// share them.
type ConfigTexts interface {
	// Unpack decompresses the text of a version.
	Unpack(version uint32, packed []byte) ([]byte, error)
	// Intern returns the text of a version, or an equal one that is shared.
	Intern(version uint32, text []byte) []byte
}

// Entries applies the entries of an update to the directory. Entries of the sidecar itself are passed to own instead,
// in order with the others; entries that are only signs of life are ignored.
func ApplyEntries(d *directory.Directory, self string, entries []*wire.EntryT, handleOwn func(*directory.Entry), now time.Duration) {
	for _, t := range entries {
		e, complete := codec.EntryFromWire(t, now)
		switch {
		case !complete:
		case e.Node == self:
			handleOwn(&e)
		default:
			d.ApplyUpdate(e, now)
		}
	}
}

// Rollouts replaces the rollouts by those of an update, if it has later ones. It is applied before Entries: servers of a new version are
// not known without their rollout.
func ApplyRollouts(state *dissemination.Publisher, f *wire.FrameT) {
	if set, ok := codec.RolloutsFromFrame(f); ok {
		state.SetRollouts(set)
	}
}

// ControlMachines replaces the list of control machines by that of an update, if it has one.
func ApplyControlMachines(state *dissemination.Publisher, f *wire.FrameT, now time.Duration) {
	if len(f.Machines) > 0 {
		state.ControlMachines = codec.MachinesFromWire(f.Machines, now)
	}
}

// Config applies the configuration of an update: the full text, deltas from the present text, or only a confirmation
// that the present version is the newest. It reports whether the update carries a newer version; if that is rejected,
// the error wraps ErrCorrupt or ErrDeltaMismatch and the present text remains.
func ApplyConfig(state *dissemination.Publisher, texts ConfigTexts, f *wire.FrameT, now time.Duration) (newer bool, err error) {
	asOf := codec.AsOfFromFrame(f, now)
	if f.Value == nil && len(f.Deltas) == 0 || f.Version <= state.Version {
		state.SetConfig(f.Version, nil, nil, asOf)
		return false, nil
	}
	if f.Value != nil {
		text, err := texts.Unpack(f.Version, f.Value.Body)
		state.SetConfig(f.Version, text, nil, asOf)
		if err != nil {
			return true, fmt.Errorf("version %d: %w: %w", f.Version, ErrCorrupt, err)
		}
		return true, nil
	}
	text, used, ok := state.ApplyDeltas(codec.DeltasFromFrame(f), config.MaxBytes)
	if !ok {
		return true, fmt.Errorf("version %d from %d: %w", f.Version, state.Version, ErrDeltaMismatch)
	}
	state.SetConfig(f.Version, texts.Intern(f.Version, text), used, asOf)
	return true, nil
}
