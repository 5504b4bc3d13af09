package rollout

import (
	"math"
	"time"
)

const (
	// latencyBuckets are the buckets of a histogram of latencies, and bucketsPerDoubling how many of them stand for twice the time.
	latencyBuckets     = 56
	bucketsPerDoubling = 4
)

// Latencies is a histogram of latencies in buckets of equal ratio, from a millisecond up. Histograms can be added.
type Latencies [latencyBuckets]uint32

// Record counts a latency.
func (l *Latencies) Record(latency time.Duration) {
	millis := max(1, float64(latency)/float64(time.Millisecond))
	bucket := int(bucketsPerDoubling * math.Log2(millis))
	l[min(bucket, latencyBuckets-1)]++
}

// add adds another histogram.
func (l *Latencies) add(o *Latencies) {
	for i := range l {
		l[i] += o[i]
	}
}

// since returns what was counted since an earlier state. Counts below those of that state are of another process, which began anew.
func (l *Latencies) since(earlier *Latencies) Latencies {
	delta := *l
	for i := range delta {
		if earlier[i] > l[i] {
			return *l
		}
		delta[i] -= earlier[i]
	}
	return delta
}

// count returns how many latencies were counted in the buckets from one on.
func (l *Latencies) countFrom(first int) (count uint32) {
	for i := min(first, latencyBuckets); i < latencyBuckets; i++ {
		count += l[i]
	}
	return count
}

// tailShare is the share of the latencies in the buckets from one on.
func (l *Latencies) shareFrom(first int) float64 {
	return float64(l.countFrom(first)) / float64(max(1, l.countFrom(0)))
}

// tailFrom returns the first bucket from which on there is a share of the latencies at most.
func (l *Latencies) tailStart(share float64) (bucket int) {
	for l.shareFrom(bucket) > share {
		bucket++
	}
	return bucket
}
