// Package storage stores the state of a register replica on disk. It is the only code of the mesh that accesses a disk.
// Store.Save returns once a state is durable. Open returns the state that was saved last, or that it is corrupt.
//
// A data folder holds generations. Each is a pebble store in a separate folder. The current one is the highest that is
// marked complete (generation.go, rotation.go). The configuration is only written when it changes, while the ballots and
// incarnations, which change more often, are written without it (format2.go describes the format, files.go the names in
// the folder). No error is permanent: because pebble accepts no writes after one that failed, the next save creates a new
// generation, and the old one is closed in the background (failstop.go, pebble.go).
//
// Start reading at Open and Store.Save. The design is in docs/design/register.md, section "On disk".
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
	// rotationBytes is the number of bytes of records in a generation after which a new one is created, so that no
	// compaction is needed. Pebble flushes a full memtable and deletes its log. With a largest state of F bytes, a
	// generation takes at most rotationBytes + F bytes plus what pebble adds to each record (under 200 bytes). The folder
	// has at most two generations, and as much again if a corrupt register was set aside.
	rotationBytes = 16 << 20
	// maxClosingGenerations limits the abandoned generations that are not closed yet. Several only exist if the disk does
	// not return from calls. Each keeps its memory (memTableSize and cacheSize) and its files until it is closed.
	maxClosingGenerations = 16
	// closeTimeout limits the wait for an abandoned generation to close. It is then closed in the background.
	closeTimeout = 200 * time.Millisecond
)

var (
	// ErrCorrupt is returned if the data on disk differs from what was written.
	ErrCorrupt = errors.New("the register on disk is corrupt")
	// ErrStalled is returned by Save while maxClosingGenerations generations cannot be closed because the disk does not
	// return from calls. Once one of them has closed, saves create a new generation.
	ErrStalled = errors.New("the disk does not return from earlier writes of the register")
	// errAbandoned is the error since which an abandoned generation discards changes.
	errAbandoned = errors.New("the generation was abandoned")
)

// corruptError wraps ErrCorrupt with the name of the corrupt part.
func corruptError(detail string) error { return errors.Wrap(ErrCorrupt, detail) }

// Store is an open data folder, which it locks. It is not safe for concurrent use.
type Store struct {
	dir  string
	disk vfs.FS
	lock io.Closer

	// Initialized with the constants of the same names. Tests set lower values.
	rotationBytes int64
	memTableSize  uint64
	closeTimeout  time.Duration

	sequence           uint64      // number of the last save, successful or not
	newestNumber       uint64      // number of the last generation whose creation was begun
	currentNumber      uint64      // number of the generation that Read would return; 0: none
	generation         *generation // receives saves; nil: the next save creates one
	syncedFile         vfs.File    // nil: not open
	closingGenerations atomic.Int32
}

// Open opens the register in a data folder, which is created if it does not exist, and returns what was recovered from
// it. If the register is corrupt, it is set aside, Recovered.Corrupt is set, and an empty register is created. An error is
// one of the disk, and may be temporary.
func Open(dir string) (*Store, Recovered, error) { return OpenFS(vfs.Default, dir) }

// OpenFS is Open on another file system, for tests with failing disks.
func OpenFS(disk vfs.FS, dir string) (*Store, Recovered, error) {
	prior, err := findPriorFiles(disk, dir)
	if err != nil {
		return nil, Recovered{}, err
	}
	s := &Store{dir: dir, disk: disk, rotationBytes: rotationBytes, memTableSize: memTableSize, closeTimeout: closeTimeout}
	recovered, err := s.open(prior)
	if err != nil {
		_ = s.Close() // nothing was written, so that only the error above matters
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

// prepare creates and locks the data folder. A folder without prior files gets the marker of a first start.
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

// load reads the current generation or the store of format 1, and initializes the numbers of saves and generations.
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

// setAside marks the folder as used by an earlier incarnation, and then renames the corrupt register, so that an operator
// can examine it.
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

// Activate durably records that the replica with this folder sends messages from now on. It is called before the first
// message is sent, and may be called again after an error. A replica that votes without a rejoin passes its first state,
// which is saved first, so that the replica is still a voter after a power loss before its first promise.
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

// Save returns once the state is durable, or with an error of the disk. After an error, the state on disk is that of the
// last successful save, of a failed one since, or of this one. The next save then creates a new generation, and may be
// tried at any time.
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

// abandon stops using the present generation, so that the next save creates another one. Pebble closes the old one in
// the background, as that may block for as long as the disk does. s.closingGenerations counts these goroutines, to limit
// their number.
func (s *Store) abandon() {
	g := s.generation
	s.generation = nil
	if g == nil {
		return
	}
	g.disk.fail(errAbandoned)
	if g.db == nil {
		return
	}
	s.closingGenerations.Add(1)
	closed := make(chan struct{})
	go func() {
		_ = callPebble(g.db.Close) // an error does not matter, as the generation is no longer used
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

// Close closes the store and unlocks the folder.
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
