package register

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// MaxRecords is the number of records that a History keeps at most: those of the highest versions. That is 20 KiB of RecordSize bytes each.
const MaxRecords = 1024

// RecordSize is the size of a Record on the wire and on disk, in bytes.
const RecordSize = 4 + len(Content{})

// Content identifies the bytes that an operator sent: the first half of their SHA-256 (FIPS 180-4).
type Content [16]byte

// ContentOf returns the Content of the bytes that an operator sent.
func ContentOf(sent []byte) (c Content) {
	sum := sha256.Sum256(sent)
	copy(c[:], sum[:])
	return c
}

// String returns the content in hexadecimal digits.
func (c Content) String() string { return hex.EncodeToString(c[:]) }

// Record is the content that a version was written with.
type Record struct {
	Version uint32
	Content Content
}

// History records the content of the versions that were written. It is never changed: With returns another one.
type History struct {
	Floor   uint32   // records of versions up to this one were dropped
	Records []Record // in order of version, all above Floor, at most MaxRecords
}

// RecordState is the state of a version and a content in a History.
type RecordState uint8

// The states of a record.
const (
	NotRecorded       RecordState = iota // the version was never written
	RecordedSame                         // it was written with this content
	RecordedDifferent                    // it was written with another one
	BelowFloor                           // its record was dropped, if it had one
)

// result returns how a Put ends whose record is in this state.
func (s RecordState) result() Result {
	if s == RecordedDifferent {
		return Conflict
	}
	return Confirmed
}

// Find returns the record of a version; ok is false where there is none.
func (h History) Find(version uint32) (record Record, ok bool) {
	i, found := h.search(version)
	if !found {
		return Record{}, false
	}
	return h.Records[i], true
}

// search returns the index of a version's record, or the one at which it would be inserted.
func (h History) search(version uint32) (index int, found bool) {
	return slices.BinarySearchFunc(h.Records, version, func(r Record, version uint32) int {
		return cmp.Compare(r.Version, version)
	})
}

// StateOf returns the state of a version that is to be written with a content.
func (h History) StateOf(version uint32, content Content) RecordState {
	record, found := h.Find(version)
	switch {
	case found && record.Content == content:
		return RecordedSame
	case found:
		return RecordedDifferent
	case version <= h.Floor:
		return BelowFloor
	}
	return NotRecorded
}

// With returns a history with one more record, whose version must be NotRecorded in h. Beyond MaxRecords the lowest record is dropped and
// the floor raised to it.
func (h History) With(r Record) History {
	index, _ := h.search(r.Version)
	records := make([]Record, 0, len(h.Records)+1)
	records = append(records, h.Records[:index]...)
	records = append(records, r)
	records = append(records, h.Records[index:]...)
	if len(records) > MaxRecords {
		h.Floor = records[0].Version
		records = records[1:]
	}
	h.Records = records
	return h
}

// Equal reports whether two histories have the same floor and records.
func (h History) Equal(o History) bool {
	return h.Floor == o.Floor && slices.Equal(h.Records, o.Records)
}
