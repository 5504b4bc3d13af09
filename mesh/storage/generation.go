package storage

import (
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"firplank/mesh/register"
)

// generation is a pebble store that is open for writing. It is not safe for concurrent use.
type generation struct {
	disk        *failStopFS
	db          *pebble.DB // nil: it could not be opened
	recordBytes int64      // bytes of records

	accepted      register.Ballot // of the value in it
	valueChecksum uint64          // of that value's record
}

// openGeneration creates a new store. If it returns an error, the returned generation has to be abandoned nevertheless.
func openGeneration(disk vfs.FS, folder string, memTableSize uint64) (*generation, error) {
	g := &generation{disk: &failStopFS{FS: disk}}
	err := callPebble(func() (err error) {
		cache := pebble.NewCache(cacheSize)
		defer cache.Unref()
		options := pebbleOptions(g.disk, memTableSize, pebbleLogger{onFatal: g.disk.fail})
		options.Cache = cache
		options.ErrorIfExists = true
		g.db, err = pebble.Open(folder, options)
		return err
	})
	return g, g.diskErrorOr(err)
}

// diskErrorOr returns the disk's first error, or pebble's error if there is none.
func (g *generation) diskErrorOr(err error) error {
	if diskErr := g.disk.failure(); diskErr != nil {
		return diskErr
	}
	return err
}

// valueDiffersFrom reports whether a state's value may differ from the one in the store. A ballot identifies its value,
// except for the zero ballot, whose value may have changed.
func (g *generation) valueDiffersFrom(state *register.State) bool {
	return state.Accepted != g.accepted || state.Accepted == (register.Ballot{})
}

// write returns once a state is durable. If withValue is false, the state's value has to be the one in the store.
func (g *generation) write(state *register.State, sequence uint64, withValue bool) error {
	checksum := g.valueChecksum
	var value []byte
	if withValue {
		value = encodeValueRecord(state)
		checksum = checksumOf(value)
	}
	ballots := encodeBallotsRecord(state, sequence, checksum)
	err := callPebble(func() error { return commitRecords(g.db, ballots, value) })
	if err := g.diskErrorOr(err); err != nil {
		return err
	}
	g.recordBytes += int64(len(ballots) + len(value))
	g.accepted = state.Accepted
	g.valueChecksum = checksum
	return nil
}

// commitRecords writes the records in one synced batch. If value is nil, the stored value is unchanged.
func commitRecords(db *pebble.DB, ballots, value []byte) error {
	batch := db.NewBatch()
	if err := batch.Set(ballotsKey, ballots, nil); err != nil {
		return err
	}
	if value != nil {
		if err := batch.Set(valueKey, value, nil); err != nil {
			return err
		}
	}
	return batch.Commit(pebble.Sync)
}
