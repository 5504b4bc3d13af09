package storage

import (
	"github.com/cockroachdb/pebble/v2/vfs"

	"firplank/mesh/register"
)

// Recovered is the content of a data folder when it was opened.
type Recovered struct {
	// State is the state that was saved last, or nil if there is no complete one.
	State *register.State
	// Corrupt is set if there was a state and its bytes differ from those that were written.
	Corrupt bool
	// EarlierIncarnation is set if a replica with this folder may have sent messages before, even if its state is lost.
	EarlierIncarnation bool
}

// MayVoteWithoutRejoin reports whether a replica without a state may vote without a rejoin. It may only do so at the
// first start of the whole system, and only if nothing in the folder shows that a replica used it before. A corrupt
// folder does not count as a first start, because the lost state may have had promises.
func (r *Recovered) MayVoteWithoutRejoin(firstStart bool) bool {
	return firstStart && r.State == nil && !r.Corrupt && !r.EarlierIncarnation
}

// priorFiles states which files a data folder had before it was opened.
type priorFiles struct {
	starting   bool // the marker of a first start; without that of an active replica, no message was sent
	active     bool // the marker of a replica that may have sent messages
	storeFiles bool // any file of a store, whatever its content
}

// earlierIncarnation reports whether a replica may have sent messages. Store files without the marker of a first start
// belong to a replica whose markers were lost, or to a release that had no markers.
func (t priorFiles) earlierIncarnation() bool {
	return t.active || t.storeFiles && !t.starting
}

func findPriorFiles(disk vfs.FS, dir string) (t priorFiles, err error) {
	if t.starting, err = markerExists(disk, dir, startingName); err != nil {
		return t, err
	}
	if t.active, err = markerExists(disk, dir, activeName); err != nil {
		return t, err
	}
	for _, name := range []string{registerName, format1Name} {
		names, err := listDir(disk, dir, name)
		if err != nil {
			return t, err
		}
		t.storeFiles = t.storeFiles || len(names) > 0
	}
	return t, nil
}
