// Package spool keeps intervals that no receiver has taken yet, within a bound of bytes. It owns their packed form, which of
// them are put together when there is no room, and what counters came to at the end of each; it does no I/O, has no clock, and
// knows no receiver. Nothing that was counted is dropped: when room is short resolution goes, the oldest first.
//
// interval.go is one interval, spool.go the list of them. Begin with Spool.
package spool

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"
)

// Interval is what one interval came to, packed: of the counters those that grew, with what they grew by, of the gauges those
// that have a value. It is never changed, so that several spools can share it.
type Interval struct {
	End      time.Time
	Duration time.Duration

	counters []byte // (places skipped, growth) as varints
	gauges   []byte // (places skipped, value)
}

// Pack packs an interval. No growth is below 0; NaN is no gauge.
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

// appendFloat writes whole numbers, which most are, as varints of twice their value and 1; others after a 0.
func appendFloat(b []byte, v float64) []byte {
	if v < 1<<52 && !math.Signbit(v) && v == math.Trunc(v) {
		return binary.AppendUvarint(b, uint64(v)<<1|1)
	}
	return binary.LittleEndian.AppendUint64(append(b, 0), math.Float64bits(v))
}

// overhead is what an interval holds besides its packed bytes.
const intervalOverheadBytes = 144

// Size is how many bytes it holds.
func (iv *Interval) Size() int { return intervalOverheadBytes + len(iv.counters) + len(iv.gauges) }

var errMalformed = errors.New("spool: a packed interval is not whole")

// each calls do for each of the places in packed bytes; value reads one.
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

// AddTo adds the growth to counters, which grow where they are too short.
func (iv *Interval) AddTo(counters []int64) []int64 {
	place := 0
	// What is packed is checked where it comes from: what cannot be read ends it here.
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

// Gauges writes the gauges over those given, which grow where they are too short.
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

// Merge puts an interval and the one after it together: growth adds up, of the gauges the later hold.
func Merge(a, b *Interval) *Interval {
	m := Pack(b.End, a.Duration+b.Duration, b.AddTo(a.AddTo(nil)), nil)
	m.gauges = b.gauges
	return m
}
