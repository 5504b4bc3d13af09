package storage

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-faster/errors"

	"firplank/mesh/register"
)

// statesPerMemTable is the minimum size of a generation's memtable, in states of the size that the generation begins
// with, so that pebble rarely flushes even if values are large.
const statesPerMemTable = 4

// generationList has the numbers of the generations in a folder, unordered.
type generationList struct {
	complete []uint64 // have the marker of a complete generation
	all      []uint64 // have a store or a marker; listed twice if both
}

func listGenerations(disk vfs.FS, dir string) (generations generationList, err error) {
	names, err := listDir(disk, dir, registerName)
	if err != nil {
		return generationList{}, err
	}
	for _, name := range names {
		digits, isComplete := strings.CutPrefix(name, completePrefix)
		isStore := false
		if !isComplete {
			digits, isStore = strings.CutPrefix(name, generationPrefix)
		}
		if !isComplete && !isStore {
			continue
		}
		number, err := strconv.ParseUint(digits, 16, 64)
		if err != nil {
			return generationList{}, corruptError("name " + name)
		}
		generations.all = append(generations.all, number)
		if isComplete {
			generations.complete = append(generations.complete, number)
		}
	}
	return generations, nil
}

// rotate creates a generation with a complete state. It removes the earlier ones once the new one is durable, that is,
// once it would be read after a power loss.
func (s *Store) rotate(state *register.State) error {
	s.abandon()
	if s.closingGenerations.Load() >= maxClosingGenerations {
		return ErrStalled
	}
	if err := s.removeIncomplete(); err != nil {
		return err
	}
	s.newestNumber++
	if err := s.createGeneration(state); err != nil {
		s.abandon()
		return errors.Wrapf(err, "create generation %d of the register", s.newestNumber)
	}
	s.currentNumber = s.newestNumber
	s.removeOlder()
	return nil
}

// createGeneration creates generation s.newestNumber, writes a state to it and marks it complete.
func (s *Store) createGeneration(state *register.State) (err error) {
	folder := generationDir(s.dir, s.newestNumber)
	table := max(s.memTableSize, statesPerMemTable*uint64(len(state.Value.Body)))
	if s.generation, err = openGeneration(s.disk, folder, table); err != nil {
		return err
	}
	if err := s.generation.write(state, s.sequence, true); err != nil {
		return err
	}
	if err := syncDir(s.disk, folder); err != nil {
		return err
	}
	return createMarker(s.disk, registerDir(s.dir), numberedName(completePrefix, s.newestNumber))
}

// removeIncomplete removes the files of a createGeneration that failed, so that there is at most one such store besides
// the current one. The marker is durably removed first, so that a marker never exists without its store.
func (s *Store) removeIncomplete() error {
	generations, err := listGenerations(s.disk, s.dir)
	if err != nil {
		return err
	}
	for _, number := range generations.complete {
		if number <= s.currentNumber {
			continue
		}
		if err := s.disk.Remove(completeMarkerPath(s.dir, number)); err != nil {
			return errors.Wrapf(err, "remove the marker of generation %d", number)
		}
	}
	if err := syncDir(s.disk, registerDir(s.dir)); err != nil {
		return err
	}
	for _, number := range generations.all {
		if number <= s.currentNumber {
			continue
		}
		if err := s.disk.RemoveAll(generationDir(s.dir, number)); err != nil {
			return errors.Wrapf(err, "remove generation %d", number)
		}
	}
	return nil
}

// removeOlder removes the generations before the current one, and the store of format 1. Errors are ignored: files that
// cannot be removed only take space, and the next rotation tries again.
func (s *Store) removeOlder() {
	generations, _ := listGenerations(s.disk, s.dir) // empty on an error
	for _, number := range generations.all {
		if number < s.currentNumber {
			_ = s.disk.Remove(completeMarkerPath(s.dir, number))
			_ = s.disk.RemoveAll(generationDir(s.dir, number))
		}
	}
	_ = s.disk.RemoveAll(format1Dir(s.dir))
}
