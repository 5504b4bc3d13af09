package storage

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"firplank/mesh/codec"
	"firplank/mesh/register"
	"firplank/mesh/wire"
)

// Format 2 has two keys, "value" and "ballots". Both records begin with the same header. Numbers are little endian:
//
//	1  version of the format, 2
//	8  xxHash64 of all that follows
//
// The record of "value" continues with a State of wire.fbs that has only the accepted ballot and its value. The record
// of "ballots" continues with:
//
//	20 stamp: "FPR2", sequence number of the save (8), xxHash64 of these twelve bytes (8)
//	8  the checksum in the record of the value that the ballots belong to
//	   a State without its value
//	20 the stamp again
//
// Each save has the next sequence number, even if the save before it failed. Reading searches the bytes of pebble's log
// for stamps: each save is synced before the next one begins, so that a stamp two above the state that pebble reads
// proves that pebble lost a synced save. There are two stamps because the log is written in blocks, and the border of a
// block may split one of them.
const (
	format2Version    = 2
	recordHeaderSize  = 1 + 8
	stampSize         = 4 + 8 + 8
	checksumSize      = 8
	ballotsHeaderSize = stampSize + checksumSize
)

var (
	ballotsKey = []byte("ballots")
	valueKey   = []byte("value")
	stampMagic = []byte("FPR2")
)

func encodeStamp(sequence uint64) []byte {
	b := binary.LittleEndian.AppendUint64(bytes.Clone(stampMagic), sequence)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// decodeStamp returns the sequence number of the stamp at the beginning of b. ok is false if there is no valid stamp.
func decodeStamp(b []byte) (sequence uint64, ok bool) {
	if len(b) < stampSize || !bytes.HasPrefix(b, stampMagic) {
		return 0, false
	}
	sequence = binary.LittleEndian.Uint64(b[len(stampMagic):])
	return sequence, bytes.Equal(b[:stampSize], encodeStamp(sequence))
}

// highestStamp returns the highest sequence number of all stamps in a file's bytes, or 0 if there is none.
func highestStamp(file []byte) (highest uint64) {
	for {
		next := bytes.Index(file, stampMagic)
		if next < 0 {
			return highest
		}
		file = file[next:]
		if sequence, ok := decodeStamp(file); ok {
			highest = max(highest, sequence)
		}
		file = file[1:]
	}
}

// encodeRecord returns a record: version and checksum, followed by the body.
func encodeRecord(body []byte) []byte {
	record := binary.LittleEndian.AppendUint64([]byte{format2Version}, xxhash.Sum64(body))
	return append(record, body...)
}

// decodeRecord verifies a record, and returns its body and checksum.
func decodeRecord(record []byte) (body []byte, checksum uint64, err error) {
	if len(record) < recordHeaderSize || record[0] != format2Version {
		return nil, 0, corruptError("record's version")
	}
	body, checksum = record[recordHeaderSize:], checksumOf(record)
	if checksum != xxhash.Sum64(body) {
		return nil, 0, corruptError("record's checksum")
	}
	return body, checksum, nil
}

// checksumOf returns the checksum in a record of at least recordHeaderSize bytes.
func checksumOf(record []byte) uint64 { return binary.LittleEndian.Uint64(record[1:]) }

func encodeValueRecord(state *register.State) []byte {
	valueOnly := register.State{Accepted: state.Accepted, Value: state.Value}
	return encodeRecord(wire.EncodeState(codec.StateToWire(&valueOnly)))
}

// encodeBallotsRecord returns the record of a state without its value, whose record has the given checksum.
func encodeBallotsRecord(state *register.State, sequence, valueChecksum uint64) []byte {
	withoutValue := codec.StateToWire(state)
	withoutValue.Value = nil
	stamp := encodeStamp(sequence)
	body := binary.LittleEndian.AppendUint64(bytes.Clone(stamp), valueChecksum)
	body = append(body, wire.EncodeState(withoutValue)...)
	return encodeRecord(append(body, stamp...))
}

// stateFromRecords returns the state in two records, and the sequence number of its save. The records are corrupt if the
// ballots belong to another value.
func stateFromRecords(ballots, value []byte) (state *register.State, sequence uint64, err error) {
	ballotsBody, _, err := decodeRecord(ballots)
	if err != nil {
		return nil, 0, err
	}
	valueBody, checksum, err := decodeRecord(value)
	if err != nil {
		return nil, 0, err
	}
	sequence, ok := decodeStamp(ballotsBody)
	if !ok || len(ballotsBody) < ballotsHeaderSize+stampSize {
		return nil, 0, corruptError("stamp of the ballots")
	}
	if binary.LittleEndian.Uint64(ballotsBody[stampSize:]) != checksum {
		return nil, 0, corruptError("ballots of another value")
	}
	if state, err = decodeState(ballotsBody[ballotsHeaderSize : len(ballotsBody)-stampSize]); err != nil {
		return nil, 0, err
	}
	accepted, err := decodeState(valueBody)
	if err != nil {
		return nil, 0, err
	}
	if accepted.Accepted != state.Accepted {
		return nil, 0, corruptError("value of another ballot")
	}
	state.Value = accepted.Value
	return state, sequence, nil
}

// decodeState returns the state in a State of wire.fbs. The state does not share the table's bytes.
func decodeState(table []byte) (*register.State, error) {
	s, err := wire.DecodeState(bytes.Clone(table))
	if err != nil {
		return nil, corruptError("state")
	}
	return codec.StateFromWire(s), nil
}
