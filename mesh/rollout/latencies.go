package rollout

import (
	"math"
	"time"
)

const (
	// latencyBuckets is the number of buckets of a histogram. The bounds of the buckets double every bucketsPerDoubling buckets.
	latencyBuckets     = 56
	bucketsPerDoubling = 4
)

// Latencies is a histogram of latencies with exponential buckets, from one millisecond up. Histograms can be added.
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

// since returns what was counted since an earlier state. Lower counts than in that state mean that the process has restarted and counted
// from zero.
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

// countFrom returns the number of latencies in a bucket and all higher ones.
func (l *Latencies) countFrom(first int) (count uint32) {
	for i := min(first, latencyBuckets); i < latencyBuckets; i++ {
		count += l[i]
	}
	return count
}

// shareFrom returns the share of the latencies that are in a bucket and all higher ones.
func (l *Latencies) shareFrom(first int) float64 {
	return float64(l.countFrom(first)) / float64(max(1, l.countFrom(0)))
}

// tailStart returns the lowest bucket for which it and all higher ones hold at most a share of the latencies.
func (l *Latencies) tailStart(share float64) (bucket int) {
	for l.shareFrom(bucket) > share {
		bucket++
	}
	return bucket
}
