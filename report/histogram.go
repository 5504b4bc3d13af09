package report

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// A histogram has 8 buckets to each doubling of time from 64 us on, so that what is told of a time is at most 6.25 % off. HDR
// histograms of the library are not safe to be written by several goroutines, and cost more memory for each class.
const (
	octave    = 8
	octaves   = 21 // up to 64 us × 2^21, more than two minutes
	buckets   = octave*octaves + 2
	leastTook = 64 * time.Microsecond
)

// Histogram counts times. Its methods may be called from any goroutine.
type Histogram struct{ counts [buckets]atomic.Int64 }

// Buckets is a histogram's state, or the difference of two.
type Buckets [buckets]int64

// bucketOf returns where a time is counted: the first is for those under leastTook, the last for those beyond the others.
func bucketOf(t time.Duration) int {
	units := uint64(max(0, t)) * octave / uint64(leastTook)
	if units < octave {
		return 0
	}
	shift := bits.Len64(units) - 4 // units has 4 bits and more: octave is 2^3
	return min(1+shift*octave+int(units>>shift)-octave, buckets-1)
}

// Value is the middle of a bucket.
func bucketValue(i int) time.Duration {
	if i == 0 {
		return leastTook / 2
	}
	i--
	shift, part := i/octave, i%octave
	return time.Duration((float64(octave+part) + 0.5) * float64(uint64(1)<<shift) * float64(leastTook) / octave)
}

// Add counts a time.
func (h *Histogram) Add(t time.Duration) { h.counts[bucketOf(t)].Add(1) }

// Snapshot reads the counts.
func (h *Histogram) Snapshot() (b Buckets) {
	for i := range h.counts {
		b[i] = h.counts[i].Load()
	}
	return b
}

// quantile returns the time that a part of those in counts do not exceed, and false where there are none.
func quantile(counts []int64, part float64) (time.Duration, bool) {
	sum := int64(0)
	for _, n := range counts {
		sum += n
	}
	if sum == 0 {
		return 0, false
	}
	left := int64(part*float64(sum) + 0.5)
	for i, n := range counts {
		if left -= n; left <= 0 && n > 0 {
			return bucketValue(i), true
		}
	}
	return bucketValue(len(counts) - 1), true
}
