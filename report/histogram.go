package report

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// A histogram has 8 buckets for each doubling of the duration from 64 us on, which limits the error of a reported duration to
// 6.25 %. The HDR histogram library isn't safe for concurrent writes and needs more memory for each class.
const (
	bucketsPerOctave = 8
	octaves          = 21 // up to 64 us × 2^21, more than two minutes
	numBuckets       = bucketsPerOctave*octaves + 2
	minDuration      = 64 * time.Microsecond
)

// Histogram counts durations. It is safe for concurrent use.
type Histogram struct{ counts [numBuckets]atomic.Int64 }

// Buckets holds the counts of a histogram, or the difference of two histograms.
type Buckets [numBuckets]int64

// bucketIndex returns the bucket of a duration. The first bucket is for durations below minDuration, the last one for those
// above all others.
func bucketIndex(t time.Duration) int {
	units := uint64(max(0, t)) * bucketsPerOctave / uint64(minDuration)
	if units < bucketsPerOctave {
		return 0
	}
	shift := bits.Len64(units) - 4 // units has at least 4 bits, as bucketsPerOctave is 2^3
	return min(1+shift*bucketsPerOctave+int(units>>shift)-bucketsPerOctave, numBuckets-1)
}

// bucketValue returns the middle of a bucket.
func bucketValue(i int) time.Duration {
	if i == 0 {
		return minDuration / 2
	}
	i--
	shift, part := i/bucketsPerOctave, i%bucketsPerOctave
	return time.Duration((float64(bucketsPerOctave+part) + 0.5) * float64(uint64(1)<<shift) * float64(minDuration) / bucketsPerOctave)
}

// Add counts a duration.
func (h *Histogram) Add(t time.Duration) { h.counts[bucketIndex(t)].Add(1) }

// Snapshot reads the counts.
func (h *Histogram) Snapshot() (b Buckets) {
	for i := range h.counts {
		b[i] = h.counts[i].Load()
	}
	return b
}

// quantile returns the duration that a fraction of the counted ones don't exceed, and false if nothing was counted.
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
