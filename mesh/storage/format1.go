package storage

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/go-faster/errors"

	"firplank/mesh/register"
)

// Format 1 was one pebble store, in the folder "book", with a single key, "book". Its record, little endian:
//
//	1  version of the format, 1
//	8  xxHash64 of all that follows
//	   a State of wire.fbs
//
// It is only read. The first save creates a generation of format 2, after which the store of format 1 is removed.
const (
	format1Version    = 1
	format1HeaderSize = 1 + 8
)

var format1Key = []byte("book")

// readFormat1 returns the state in a store of format 1, or nil if there is none.
func readFormat1(disk vfs.FS, dir string) (*register.State, error) {
	folder := format1Dir(dir)
	if there, err := exists(disk, folder); err != nil || !there {
		return nil, err
	}
	memory, err := copyToMemory(disk, folder)
	if err != nil {
		return nil, err
	}
	records, err := getRecords(memory, folder, format1Key)
	if errors.Is(err, pebble.ErrDBDoesNotExist) || errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, corruptError("store of format 1")
	}
	return decodeFormat1(records[0])
}

func decodeFormat1(record []byte) (*register.State, error) {
	if len(record) < format1HeaderSize || record[0] != format1Version {
		return nil, corruptError("record of format 1")
	}
	body := record[format1HeaderSize:]
	if binary.LittleEndian.Uint64(record[1:]) != xxhash.Sum64(body) {
		return nil, corruptError("checksum of format 1")
	}
	return decodeState(body)
}
