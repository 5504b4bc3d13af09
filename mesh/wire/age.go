package wire

import (
	"math"
	"time"
)

// UnknownAge is the age in milliseconds that stands for a time that isn't known.
const UnknownAge = math.MaxUint32

// AddAge adds to the ages that an encoded frame (Encode) of kind Update states: its own and those of its entries. Ages count back from
// when a frame is sent, and one that has waited to be written has become older since it was encoded. Ages that are not stated, or not
// known, stay.
func AddAge(encoded []byte, waited time.Duration) {
	more := uint64(max(0, waited) / time.Millisecond)
	if more == 0 || len(encoded) <= LengthSize {
		return
	}
	f := GetRootAsFrame(encoded[LengthSize:], 0)
	if f.Kind() != Update {
		return
	}
	if age := f.AgeMs(); age != UnknownAge {
		f.MutateAgeMs(sumAges(age, more))
	}
	var e Entry
	for i := range f.EntriesLength() {
		if f.Entries(&e, i) && e.AgeMs() > 0 {
			e.MutateAgeMs(sumAges(e.AgeMs(), more))
		}
	}
}

// sumAges adds to an age, and stays below UnknownAge.
func sumAges(age uint32, more uint64) uint32 {
	return uint32(min(uint64(age)+more, UnknownAge-1))
}
