// Package spool buffers intervals until a receiver has got them, within a limit of bytes. It owns their packed form, decides
// which of them are merged when space runs out, and computes the counters' totals at the end of each. It does no I/O, has no
// clock and doesn't know the receiver. No counts are dropped: when space runs out resolution is reduced, in the oldest
// intervals first.
//
// interval.go holds one interval, spool.go the list of them. Start reading at Spool.
package spool

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"
)

// Interval holds the values of one interval in packed form: the growth of counters that grew, and the gauges that have a value.
// It is immutable, so several spools can share it.
type Interval struct {
	End      time.Time
	Duration time.Duration

	counters []byte // (skipped indices, growth) as varints
	gauges   []byte // (skipped indices, value)
}

// Pack packs an interval. deltas are never negative; a gauge that is NaN has no value.
func Pack(end time.Time, span time.Duration, deltas []int64, gauges []float64) *Interval {
	iv := &Interval{End: end, Duration: span}
	last := -1
	for i, d := range deltas {
		if d > 0 {
			iv.counters = binary.AppendUvarint(iv.counters, uint64(i-last-1))
			iv.counters = binary.AppendUvarint(iv.counters, uint64(d))
			last = i
		}
	}
	last = -1
	for i, g := range gauges {
		if !math.IsNaN(g) {
			iv.gauges = binary.AppendUvarint(iv.gauges, uint64(i-last-1))
			iv.gauges = appendFloat(iv.gauges, g)
			last = i
		}
	}
	iv.counters, iv.gauges = slices.Clip(iv.counters), slices.Clip(iv.gauges)
	return iv
}

// appendFloat encodes whole numbers, which are the most frequent, as a varint of twice their value plus 1, and others as a 0
// byte and 8 bytes.
func appendFloat(b []byte, v float64) []byte {
	if v < 1<<52 && !math.Signbit(v) && v == math.Trunc(v) {
		return binary.AppendUvarint(b, uint64(v)<<1|1)
	}
	return binary.LittleEndian.AppendUint64(append(b, 0), math.Float64bits(v))
}

// intervalOverheadBytes is the memory of an interval besides its packed bytes.
const intervalOverheadBytes = 144

// Size returns the memory of the interval in bytes.
func (iv *Interval) Size() int { return intervalOverheadBytes + len(iv.counters) + len(iv.gauges) }

var errMalformed = errors.New("spool: malformed packed interval")

// forEach calls visit with each index in packed bytes, and then decode, which returns the bytes after the value.
func forEach(b []byte, decode func([]byte) (rest []byte, err error), visit func(place int)) error {
	place := -1
	for len(b) > 0 {
		skipped, n := binary.Uvarint(b)
		if n <= 0 || skipped > math.MaxInt32 {
			return errMalformed
		}
		place += int(skipped) + 1
		visit(place)
		rest, err := decode(b[n:])
		if err != nil {
			return err
		}
		b = rest
	}
	return nil
}

// AddTo adds the growth to counters, which are extended if they are too short.
func (iv *Interval) AddTo(counters []int64) []int64 {
	place := 0
	// Pack has made these bytes, so they are well-formed; malformed ones would only end the loop.
	_ = forEach(iv.counters, func(b []byte) ([]byte, error) {
		d, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, errMalformed
		}
		if place >= len(counters) {
			counters = append(counters, make([]int64, place+1-len(counters))...)
		}
		counters[place] += int64(d)
		return b[n:], nil
	}, func(p int) { place = p })
	return counters
}

// Gauges writes the gauges into those given, which are extended if they are too short.
func (iv *Interval) Gauges(gauges []float64) []float64 {
	place := 0
	// The same as in AddTo.
	_ = forEach(iv.gauges, func(b []byte) ([]byte, error) {
		whole, n := binary.Uvarint(b)
		v := float64(whole >> 1)
		switch {
		case n <= 0:
			return nil, errMalformed
		case whole == 0:
			if len(b) < 9 {
				return nil, errMalformed
			}
			v, n = math.Float64frombits(binary.LittleEndian.Uint64(b[1:])), 9
		}
		for place >= len(gauges) {
			gauges = append(gauges, math.NaN())
		}
		gauges[place] = v
		return b[n:], nil
	}, func(p int) { place = p })
	return gauges
}

// Merge merges an interval with the one after it. The growth of counters is added; gauges are those of b.
func Merge(a, b *Interval) *Interval {
	m := Pack(b.End, a.Duration+b.Duration, b.AddTo(a.AddTo(nil)), nil)
	m.gauges = b.gauges
	return m
}
