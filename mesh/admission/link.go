package admission

import "time"

const (
	// bytesPerMegabit converts a link's rate from megabits to bytes a second.
	bytesPerMegabit = 1e6 / 8
	// maxLinkUtilization is the share of the machine's link that responses may use.
	maxLinkUtilization = 0.93
	// maxLinkDelay bounds the queueing delay of the link: above it no long response is begun beside others in flight.
	maxLinkDelay = 300 * time.Millisecond
	// initialMeanBulkBytes is the assumed size of a long response before any was measured. bulkMeanGain is the weight of each response in the
	// mean.
	initialMeanBulkBytes = 64 << 10
	bulkMeanGain         = 0.1
)

// Link limits the long responses that one machine has in flight by the capacity of its link. Short responses queue behind long ones, also
// those that other servers wait for. The backlog is estimated from the link's rate. The zero value is unlimited. A Link is not safe for
// concurrent use.
type Link struct {
	bytesPerSecond float64 // 0: no limit
	backlogBytes   float64 // bytes that are still to be sent
	updatedAt      time.Duration
	meanBulkBytes  float64 // of a long response
	bulkInFlight   int     // long responses that were begun and not finished
}

// NewLink returns the limit for a link of mbps megabits a second; 0 means no limit.
func NewLink(mbps float64) *Link {
	return &Link{bytesPerSecond: mbps * bytesPerMegabit * maxLinkUtilization, meanBulkBytes: initialMeanBulkBytes}
}

// drain removes from the backlog what has been sent up to now.
func (l *Link) drain(now time.Duration) {
	l.backlogBytes = max(0, l.backlogBytes-l.bytesPerSecond*(now-l.updatedAt).Seconds())
	l.updatedAt = now
}

// TryBegin reports whether a request with a long response may begin. If so, the caller must call Finish once.
func (l *Link) TryBegin(now time.Duration) bool {
	if l.bytesPerSecond == 0 {
		l.bulkInFlight++
		return true
	}
	l.drain(now)
	if l.bulkInFlight > 0 && l.backlogBytes+float64(l.bulkInFlight)*l.meanBulkBytes > l.bytesPerSecond*maxLinkDelay.Seconds() {
		return false
	}
	l.bulkInFlight++
	return true
}

// Finish records the size of a long response that TryBegin has admitted, when it is sent; 0 if there is no response.
func (l *Link) Finish(now time.Duration, bytes int) {
	l.bulkInFlight--
	if bytes > 0 {
		l.meanBulkBytes += bulkMeanGain * (float64(bytes) - l.meanBulkBytes)
		l.RecordSent(now, bytes)
	}
}

// RecordSent records the size of any other response, when it is sent.
func (l *Link) RecordSent(now time.Duration, bytes int) {
	l.drain(now)
	l.backlogBytes += float64(bytes)
}
