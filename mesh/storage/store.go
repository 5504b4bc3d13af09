// Package storage keeps a register replica's state on disk, and is the only code of the mesh that knows a disk.
// Store.Save returns once a state is durable; Open returns what was saved last, or that it is corrupt.
//
// A data folder holds generations, each a pebble store in a folder of its own; the highest that has its mark is the
// current one (generation.go, rotation.go). The configuration is written when it changes, the ballots and incarnations,
// which change more often, without it (format2.go has the format to the byte, files.go the folder's names). No error is
// final: as pebble takes no writes after one that the disk refused, the next save begins a new generation, and the old
// one is closed in the background (failstop.go, pebble.go).
//
// Begin with Open and Store.Save. The design is in docs/design/register.md, section "On disk".
package storage

import (
	"io"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-faster/errors"

	"firplank/mesh/register"
)

const (
	// rotateSize is how many bytes of records a generation takes before another begins, so that nothing needs a
	// compaction. Pebble flushes what fills a memtable and drops its log; with a largest state of F bytes, a generation
	// holds at most rotateSize + F bytes and what pebble adds to each record (under 200), and the folder two generations;
	// as much once more where a corrupt register was set aside.
	rotationBytes = 16 << 20
	// maxAbandoned bounds the generations that are abandoned and not closed yet. More there are only where the disk
	// doesn't return from calls: each keeps its memory (memTableSize and cacheSize) and files for as long.
	maxClosingGenerations = 16
	// closeTimeout is how long an abandoned generation is waited for before it is left to close by itself.
	closeTimeout = 200 * time.Millisecond
)

var (
	// ErrCorrupt is returned where what is on disk isn't what was written.
	ErrCorrupt = errors.New("the register on disk is corrupt")
	// ErrStalled is returned by Save while maxAbandoned generations can't be closed, as the disk neither does nor refuses
	// its calls. Once one has closed, saves go on with a new generation.
	ErrStalled = errors.New("the disk does not return from earlier writes of the register")
	// errAbandoned is what pebble's calls on an abandoned generation find.
	errAbandoned = errors.New("the generation was abandoned")
)

// corrupt returns ErrCorrupt with what it was found in.
func corruptError(detail string) error { return errors.Wrap(ErrCorrupt, detail) }

// Store is an open data folder, which it locks. It isn't safe for concurrent use.
type Store struct {
	dir  string
	disk vfs.FS
	lock io.Closer

	// Less in tests than the constants that they are set from.
	rotationBytes int64
	memTableSize  uint64
	closeTimeout  time.Duration

	sequence           uint64      // of the save that was begun last
	newestNumber       uint64      // number of the generation that was begun last
	currentNumber      uint64      // number of the generation that would be read; 0: none
	generation         *generation // that is written; nil: the next save begins one
	syncedFile         vfs.File    // nil: not open
	closingGenerations atomic.Int32
}

// Open opens the register in a data folder, which is made where there is none, and returns what was recovered from it.
// A corrupt register is set aside and an empty one begun, and Recovered reports that. An error is one of the disk,
// and may pass.
func Open(dir string) (*Store, Recovered, error) { return OpenFS(vfs.Default, dir) }

// OpenFS is Open on another file system, for tests of what disks do.
func OpenFS(disk vfs.FS, dir string) (*Store, Recovered, error) {
	prior, err := findPriorFiles(disk, dir)
	if err != nil {
		return nil, Recovered{}, err
	}
	s := &Store{dir: dir, disk: disk, rotationBytes: rotationBytes, memTableSize: memTableSize, closeTimeout: closeTimeout}
	recovered, err := s.open(prior)
	if err != nil {
		_ = s.Close() // nothing was written; the error above is the one that matters
		return nil, recovered, err
	}
	return s, recovered, nil
}

func (s *Store) open(prior priorFiles) (Recovered, error) {
	if err := s.prepare(prior); err != nil {
		return Recovered{}, err
	}
	recovered := Recovered{EarlierIncarnation: prior.earlierIncarnation()}
	state, err := s.load()
	if errors.Is(err, ErrCorrupt) {
		recovered.Corrupt = true
		err = s.setAside()
	}
	recovered.State = state
	return recovered, err
}

// prepare makes and locks the data folder. A folder without traces gets the mark of a first start.
func (s *Store) prepare(prior priorFiles) (err error) {
	if err := ensureDir(s.disk, s.dir); err != nil {
		return err
	}
	if s.lock, err = s.disk.Lock(filepath.Join(s.dir, lockName)); err != nil {
		return errors.Wrap(err, "lock the data folder")
	}
	if prior == (priorFiles{}) {
		if err := createMarker(s.disk, s.dir, startingName); err != nil {
			return err
		}
	}
	return ensureDir(s.disk, registerDir(s.dir))
}

// load reads the current generation, or the store of format 1, and goes on counting after it.
func (s *Store) load() (*register.State, error) {
	contents, err := ReadFS(s.disk, s.dir)
	if err != nil {
		return nil, err
	}
	generations, err := listGenerations(s.disk, s.dir)
	for _, number := range generations.all {
		s.newestNumber = max(s.newestNumber, number)
	}
	s.currentNumber = contents.Generation
	s.sequence = contents.Sequence
	return contents.State, err
}

// setAside marks the folder as one of an earlier incarnation, and then moves what is corrupt out of the way, for an
// operator to look at.
func (s *Store) setAside() error {
	if err := s.MarkActive(); err != nil {
		return err
	}
	for _, name := range []string{registerName, format1Name} {
		if err := setAside(s.disk, s.dir, name); err != nil {
			return err
		}
	}
	return ensureDir(s.disk, registerDir(s.dir))
}

// Activate notes durably that a replica over this folder sends messages from now on. It is called before the first is
// sent, and may be called again after an error. A replica that votes without a rejoin passes its first state, which is
// saved before, so that a power loss ahead of the first promise leaves the disk of a voter.
func (s *Store) Activate(first *register.State) error {
	if first != nil {
		if err := s.Save(first); err != nil {
			return err
		}
	}
	return s.MarkActive()
}

// MarkActive is Activate without a state.
func (s *Store) MarkActive() error { return createMarker(s.disk, s.dir, activeName) }

// Save returns once the state is durable, or the disk refused. After an error the state on disk is that of the last
// save without one, of one that failed since, or this one; the next save begins a new generation, and may follow as
// soon as the caller likes.
func (s *Store) Save(state *register.State) error {
	s.sequence++
	g := s.generation
	if g == nil || g.recordBytes >= s.rotationBytes {
		return s.rotate(state)
	}
	if err := g.write(state, s.sequence, g.valueDiffersFrom(state)); err != nil {
		s.abandon()
		return errors.Wrap(err, "write the register")
	}
	return nil
}

// abandon gives up the generation that is written: the next save begins another. Pebble closes it in the background, as
// that may take as long as the disk does; the goroutine is counted in s.abandoned, which bounds them.
func (s *Store) abandon() {
	g := s.generation
	s.generation = nil
	if g == nil {
		return
	}
	g.fs.fail(errAbandoned)
	if g.db == nil {
		return
	}
	s.closingGenerations.Add(1)
	closed := make(chan struct{})
	go func() {
		_ = callPebble(g.db.Close) // it may well fail: nothing of the generation is used any more
		s.closingGenerations.Add(-1)
		close(closed)
	}()
	if s.closeTimeout == 0 {
		return
	}
	select {
	case <-closed:
	case <-time.After(s.closeTimeout):
	}
}

// Close unlocks the folder. The state that was saved last stays on disk.
func (s *Store) Close() error {
	s.abandon()
	s.closeSyncedFile()
	if s.lock == nil {
		return nil
	}
	lock := s.lock
	s.lock = nil
	return lock.Close()
}
