package register

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"firplank/mesh/configversion"
)

// MaxRecords is the maximum number of records in a History, which keeps those of the highest versions. With RecordSize bytes each they
// take 20 KiB.
const MaxRecords = 1024

// RecordSize is the size of a Record on the wire and on disk, in bytes.
const RecordSize = 4 + len(Content{})

// Content identifies the bytes that an operator sent. It is the first half of their SHA-256 hash (FIPS 180-4).
type Content [16]byte

// ContentOf returns the Content of the bytes that an operator sent.
func ContentOf(sent []byte) (c Content) {
	sum := sha256.Sum256(sent)
	copy(c[:], sum[:])
	return c
}

// String returns the content in hexadecimal digits.
func (c Content) String() string { return hex.EncodeToString(c[:]) }

// Record states with which content a version was written.
type Record struct {
	Version configversion.Version
	Content Content
}

// History records the content of the versions that were written. It is immutable: With returns another one.
type History struct {
	Floor   configversion.Version // records of versions up to this one were dropped; None: none were
	Records []Record              // sorted by version, all above Floor, at most MaxRecords
}

// RecordState is the relation of a version and its content to the records of a History.
type RecordState uint8

// The states.
const (
	NotRecorded       RecordState = iota // the version was never written
	RecordedSame                         // the version was written with this content
	RecordedDifferent                    // the version was written with another content
	BelowFloor                           // the version's record was dropped, if there was one
)

// result returns the result of a Put whose version and content are in this state.
func (s RecordState) result() Result {
	if s == RecordedDifferent {
		return Conflict
	}
	return Confirmed
}

// Find returns the record of a version. ok is false if there is none.
func (h History) Find(version configversion.Version) (record Record, ok bool) {
	i, found := h.search(version)
	if !found {
		return Record{}, false
	}
	return h.Records[i], true
}

// search returns the index of a version's record, or the index at which it would be inserted.
func (h History) search(version configversion.Version) (index int, found bool) {
	return slices.BinarySearchFunc(h.Records, version, func(r Record, version configversion.Version) int {
		return cmp.Compare(r.Version, version)
	})
}

// StateOf returns the state of a version that is to be written with a content.
func (h History) StateOf(version configversion.Version, content Content) RecordState {
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

// With returns a history with one more record, whose version must be NotRecorded in h. Beyond MaxRecords, the record of the lowest version
// is dropped and Floor raised to that version.
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
