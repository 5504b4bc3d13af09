package storage

import (
	"github.com/cockroachdb/pebble/v2/vfs"

	"firplank/mesh/register"
)

// Recovered is what a data folder held when it was opened.
type Recovered struct {
	// State is what was saved last; nil: there is none that is complete.
	State *register.State
	// Corrupt reports that there was a state whose bytes aren't those that were written.
	Corrupt bool
	// EarlierIncarnation reports that a replica over this folder may have sent messages before, whatever is left of what
	// it saved.
	EarlierIncarnation bool
}

// MayVoteWithoutRejoin decides whether a replica over this folder may vote without a rejoin: only at the
// first start of the whole system, and only where nothing in the folder shows that a replica was here before.
// Corruption is no first start: what was lost may have held promises.
func (r *Recovered) MayVoteWithoutRejoin(firstStart bool) bool {
	return firstStart && r.State == nil && !r.Corrupt && !r.EarlierIncarnation
}

// traces are what a data folder held before anything was made in it.
type priorFiles struct {
	starting   bool // the mark of a first start that never came to send messages
	active     bool // the mark of a replica that did
	storeFiles bool // files of the store, whatever they hold
}

// earlierIncarnation reports whether a replica may have sent messages. Files without the mark of an unfinished start
// are those of a replica whose marks were lost, or that knew none.
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
