// Package codec converts the messages of the mesh's packages without I/O to the frames of package wire, and back. Times
// count from the start of the process. They are therefore sent as an age or as the remaining time, which the receiver
// converts to a time of its own clock. The package has no state, does no I/O, and may be used from any goroutine. Results
// share byte slices with the arguments.
//
// Start reading at RegisterToFrame, EntryToWire and UpdateToFrame.
package codec

import (
	"time"

	"firplank/mesh/wire"
)

const (
	// unknownAge is sent for an unknown time.
	unknownAge = wire.UnknownAge
	// maxMilliseconds limits the ages and durations that are sent, to about 24 days.
	maxMilliseconds = 1 << 31
)

// milliseconds returns a duration in milliseconds, rounded down and limited to the range from 0 to maxMilliseconds.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d/time.Millisecond), maxMilliseconds))
}

// timeFromAge returns the time that has an age at now.
func timeFromAge(now time.Duration, ageMs uint32) time.Duration {
	return now - time.Duration(ageMs)*time.Millisecond
}
