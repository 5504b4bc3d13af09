package storage

import (
	"path/filepath"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-faster/errors"

	"firplank/mesh/register"
)

// Contents is the content of a data folder.
type Contents struct {
	State      *register.State // nil: there is none
	Generation uint64          // number of the current generation; 0: the state is of format 1, or there is none
	Sequence   uint64          // sequence number of the save of State
}

// Read returns the content of a data folder, without changing the folder. No process may have the folder open. The error
// is ErrCorrupt or one of the disk.
func Read(dir string) (Contents, error) { return ReadFS(vfs.Default, dir) }

// ReadFS is Read on another file system, for tests with failing disks.
func ReadFS(disk vfs.FS, dir string) (Contents, error) {
	c, err := readCurrent(disk, dir)
	if err != nil || c.State != nil {
		return c, err
	}
	c.State, err = readFormat1(disk, dir)
	return c, err
}

// readCurrent reads the current generation, which is the highest complete one.
func readCurrent(disk vfs.FS, dir string) (c Contents, err error) {
	generations, err := listGenerations(disk, dir)
	if err != nil {
		return Contents{}, err
	}
	syncedSequence, err := readSynced(disk, dir)
	if err != nil {
		return Contents{}, err
	}
	for _, number := range generations.complete {
		c.Generation = max(c.Generation, number)
	}
	if c.Generation == 0 {
		if syncedSequence > 0 {
			return c, corruptError("saves were synced, but no generation is complete")
		}
		return c, nil
	}
	c.State, c.Sequence, err = readGeneration(disk, generationDir(dir, c.Generation), syncedSequence)
	return c, err
}

// readGeneration reads the store of a generation. The save with the number syncedSequence is known to have been synced,
// so that an older state is corrupt.
func readGeneration(disk vfs.FS, folder string, syncedSequence uint64) (*register.State, uint64, error) {
	memory, err := copyToMemory(disk, folder)
	if err != nil {
		return nil, 0, err
	}
	highestInLogs, err := highestStampIn(memory, folder)
	if err != nil {
		return nil, 0, err
	}
	records, err := getRecords(memory, folder, ballotsKey, valueKey)
	if err != nil {
		return nil, 0, corruptError("pebble's files")
	}
	state, sequence, err := stateFromRecords(records[0], records[1])
	if err != nil {
		return nil, 0, err
	}
	if sequence < syncedSequence || sequence+1 < highestInLogs {
		return nil, 0, corruptError("a synced save is missing")
	}
	return state, sequence, nil
}

// highestStampIn returns the highest sequence number of all stamps in a store's logs, or 0 if there is none.
func highestStampIn(disk vfs.FS, folder string) (highest uint64, err error) {
	names, err := disk.List(folder)
	if err != nil {
		return 0, errors.Wrapf(err, "list %s", folder)
	}
	for _, name := range names {
		if filepath.Ext(name) != logExtension {
			continue
		}
		log, err := readFile(disk, filepath.Join(folder, name))
		if err != nil {
			return 0, err
		}
		highest = max(highest, highestStamp(log))
	}
	return highest, nil
}
