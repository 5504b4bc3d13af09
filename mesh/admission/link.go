package admission

import "time"

const (
	// bytesPerMegabit converts the rate of a link.
	bytesPerMegabit = 1e6 / 8
	// maxLinkUtilization is the part of the machine's link that responses may fill.
	maxLinkUtilization = 0.93
	// maxLinkDelay is how long what is queued for the link may take to go out for another long response to be begun.
	maxLinkDelay = 300 * time.Millisecond
	// initialBulkBytes is what a long response counts as until some were seen, and bulkGain the weight of each in their mean.
	initialMeanBulkBytes = 64 << 10
	bulkMeanGain         = 0.1
)

// Link bounds the long responses that one machine has under way by what its link carries: short responses queue behind them, among them
// those that other servers need for the requests that they work on. The backlog is estimated from the link's rate. The zero value bounds
// nothing. It is not safe for concurrent use.
type Link struct {
	bytesPerSecond float64 // bytes a second; 0: no bound
	backlogBytes   float64 // bytes that are yet to go out
	updatedAt      time.Duration
	meanBulkBytes  float64 // of a long response
	bulkInFlight   int     // long responses that are yet to come
}

// NewLink returns the bound for a link of so many megabits a second; 0: none.
func NewLink(mbps float64) *Link {
	return &Link{bytesPerSecond: mbps * bytesPerMegabit * maxLinkUtilization, meanBulkBytes: initialMeanBulkBytes}
}

// drain lets the backlog go out up to now.
func (l *Link) drain(now time.Duration) {
	l.backlogBytes = max(0, l.backlogBytes-l.bytesPerSecond*(now-l.updatedAt).Seconds())
	l.updatedAt = now
}

// TryBegin reports whether a request with a long response may begin. Where it may, Finish has to be called once.
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

// Finish records the size of a long response that TryBegin has admitted, as it goes out; 0: there is none.
func (l *Link) Finish(now time.Duration, bytes int) {
	l.bulkInFlight--
	if bytes > 0 {
		l.meanBulkBytes += bulkMeanGain * (float64(bytes) - l.meanBulkBytes)
		l.RecordSent(now, bytes)
	}
}

// Sent records the size of any other response, as it goes out.
func (l *Link) RecordSent(now time.Duration, bytes int) {
	l.drain(now)
	l.backlogBytes += float64(bytes)
}
