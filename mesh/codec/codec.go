// Package codec converts the messages of the mesh's decision packages to the frames of package wire, and back. A time,
// which counts from this process's start, is sent as an age or as the rest of a span, and becomes a time of the
// receiver's clock. The package has no state, does no I/O, and may be used from any goroutine; the results share byte
// slices with what they were made of.
//
// Begin with RegisterToFrame, EntryToWire and UpdateToFrame.
package codec

import (
	"time"

	"firplank/mesh/wire"
)

const (
	// unknownAge stands for a time that isn't known.
	unknownAge = wire.UnknownAge
	// maxMilliseconds bounds ages and spans that are sent, some 24 days.
	maxMilliseconds = 1 << 31
)

// milliseconds returns a duration in milliseconds, rounded down; below zero it is zero.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d/time.Millisecond), maxMilliseconds))
}

// timeBefore returns the time of an age.
func timeFromAge(now time.Duration, ageMs uint32) time.Duration {
	return now - time.Duration(ageMs)*time.Millisecond
}
