package report

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// A histogram has 8 buckets to each doubling of time from 64 us on, so that what is told of a time is at most 6.25 % off. HDR
// histograms of the library are not safe to be written by several goroutines, and cost more memory for each class.
const (
	bucketsPerOctave = 8
	octaves          = 21 // up to 64 us × 2^21, more than two minutes
	numBuckets       = bucketsPerOctave*octaves + 2
	minDuration      = 64 * time.Microsecond
)

// Histogram counts times. Its methods may be called from any goroutine.
type Histogram struct{ counts [numBuckets]atomic.Int64 }

// Buckets is a histogram's state, or the difference of two.
type Buckets [numBuckets]int64

// bucketOf returns where a time is counted: the first is for those under leastTook, the last for those beyond the others.
func bucketIndex(t time.Duration) int {
	units := uint64(max(0, t)) * bucketsPerOctave / uint64(minDuration)
	if units < bucketsPerOctave {
		return 0
	}
	shift := bits.Len64(units) - 4 // units has 4 bits and more: octave is 2^3
	return min(1+shift*bucketsPerOctave+int(units>>shift)-bucketsPerOctave, numBuckets-1)
}

// Value is the middle of a bucket.
func bucketValue(i int) time.Duration {
	if i == 0 {
		return minDuration / 2
	}
	i--
	shift, part := i/bucketsPerOctave, i%bucketsPerOctave
	return time.Duration((float64(bucketsPerOctave+part) + 0.5) * float64(uint64(1)<<shift) * float64(minDuration) / bucketsPerOctave)
}

// Add counts a time.
func (h *Histogram) Add(t time.Duration) { h.counts[bucketIndex(t)].Add(1) }

// Snapshot reads the counts.
func (h *Histogram) Snapshot() (b Buckets) {
	for i := range h.counts {
		b[i] = h.counts[i].Load()
	}
	return b
}

// quantile returns the time that a part of those in counts do not exceed, and false where there are none.
func quantile(counts []int64, fraction float64) (time.Duration, bool) {
	sum := int64(0)
	for _, n := range counts {
		sum += n
	}
	if sum == 0 {
		return 0, false
	}
	remaining := int64(fraction*float64(sum) + 0.5)
	for i, n := range counts {
		if remaining -= n; remaining <= 0 && n > 0 {
			return bucketValue(i), true
		}
	}
	return bucketValue(len(counts) - 1), true
}
