// Package updates applies a parent's updates to the wanted state of a sidecar: the rollouts, the directory of sidecars,
// the list of control machines and the configuration. The caller applies an update by ApplyRollouts, ApplyEntries,
// ApplyControlMachines and ApplyConfig in this order. The package has no sockets and no clock.
package updates

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/codec"
	"firplank/mesh/config"
	"firplank/mesh/configversion"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/wire"
)

// Errors of ApplyConfig. After either, the sidecar needs the full text from its parent.
var (
	// ErrCorrupt means that the full text cannot be decompressed.
	ErrCorrupt = errors.New("configuration cannot be unpacked")
	// ErrDeltaMismatch means that the base of the deltas differs from the present text, or that the deltas are corrupt.
	ErrDeltaMismatch = errors.New("configuration deltas do not apply")
)

// ConfigTexts decompresses and interns the texts of configurations. Many sidecars in one process (lab/scale) share them
// to save memory.
type ConfigTexts interface {
	// Unpack decompresses the text of a version.
	Unpack(version configversion.Version, packed []byte) ([]byte, error)
	// Intern returns the text of a version, or an equal shared one.
	Intern(version configversion.Version, text []byte) []byte
}

// ApplyEntries applies the entries of an update to the directory, in order. Entries of the sidecar itself are passed to
// handleOwn instead. Incomplete entries, which are heartbeats, are ignored.
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

// ApplyRollouts replaces the rollouts by those of an update if the update has later ones. It must be called before ApplyEntries, as servers
// of a new version are not known without their rollout.
func ApplyRollouts(state *dissemination.Publisher, f *wire.FrameT) {
	if set, ok := codec.RolloutsFromFrame(f); ok {
		state.SetRollouts(set)
	}
}

// ApplyControlMachines replaces the list of control machines by that of an update if the update has one.
func ApplyControlMachines(state *dissemination.Publisher, f *wire.FrameT, now time.Duration) {
	if len(f.Machines) > 0 {
		state.ControlMachines = codec.MachinesFromWire(f.Machines, now)
	}
}

// ApplyConfig applies the configuration of an update: the full text, deltas from the present text, or only a
// confirmation that the present version is the newest. It reports whether the update carries a newer version. If the
// newer version cannot be applied, the error wraps ErrCorrupt or ErrDeltaMismatch and the present text remains.
func ApplyConfig(state *dissemination.Publisher, texts ConfigTexts, f *wire.FrameT, now time.Duration) (newer bool, err error) {
	asOf, version := codec.AsOfFromFrame(f, now), configversion.FromOptional(f.Version)
	if f.Value == nil && len(f.Deltas) == 0 || version <= state.Version {
		state.SetConfig(version, nil, nil, asOf)
		return false, nil
	}
	if f.Value != nil {
		text, err := texts.Unpack(version, f.Value.Body)
		state.SetConfig(version, text, nil, asOf)
		if err != nil {
			return true, fmt.Errorf("version %v: %w: %w", version, ErrCorrupt, err)
		}
		return true, nil
	}
	text, used, ok := state.ApplyDeltas(codec.DeltasFromFrame(f), config.MaxBytes)
	if !ok {
		return true, fmt.Errorf("version %v from %v: %w", version, state.Version, ErrDeltaMismatch)
	}
	state.SetConfig(version, texts.Intern(version, text), used, asOf)
	return true, nil
}
