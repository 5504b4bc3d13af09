// Package configversion orders the versions of the configuration. An operator may give a configuration any number that fits into 32 bits,
// 0 included. That there is no configuration is therefore a value of its own, None, which is below every version.
//
// Start reading at Version.
package configversion

import (
	"fmt"
	"math"
)

// Version is the version of a configuration, or None. Versions are ordered by Go's operators; they are not the operators' numbers, which
// Of and Number convert.
type Version uint64

const (
	// None stands for no configuration.
	None Version = 0
	// Highest is the version with the highest number.
	Highest Version = firstVersion + math.MaxUint32

	// firstVersion is the version with the number 0.
	firstVersion Version = 1
)

// Of returns the version with an operator's number.
func Of(number uint32) Version { return firstVersion + Version(number) }

// FromOptional returns the version with a number that may be absent.
func FromOptional(number *uint32) Version {
	if number == nil {
		return None
	}
	return Of(*number)
}

// Optional returns the operator's number of a version, or nil for None.
func (v Version) Optional() *uint32 {
	if v == None {
		return nil
	}
	number := v.Number()
	return &number
}

// Number returns the operator's number of a version. It returns 0 for None too, which the caller has to tell apart.
func (v Version) Number() uint32 {
	if v == None {
		return 0
	}
	return uint32(v - firstVersion)
}

// String returns a version as operators write it, in eight hexadecimal digits, or "none".
func (v Version) String() string {
	if v == None {
		return "none"
	}
	return fmt.Sprintf("%08x", v.Number())
}
