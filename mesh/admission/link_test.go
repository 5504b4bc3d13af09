package admission

import (
	"testing"
	"time"
)

// When twice the link's capacity is offered, the admitted long responses use the link fully, and the queueing delay never exceeds
// maxLinkDelay by much.
func TestBulkResponsesAreBoundedByTheLink(t *testing.T) {
	const bytes = 90 << 10
	l := NewLink(8) // 1 MB a second
	type response struct {
		at time.Duration
	}
	var inFlight []response
	sentBytes := 0
	maxDelaySeconds := 0.
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		for len(inFlight) > 0 && inFlight[0].at <= now {
			l.Finish(now, bytes)
			inFlight = inFlight[1:]
			sentBytes += bytes
		}
		maxDelaySeconds = max(maxDelaySeconds, l.backlogBytes/l.bytesPerSecond)
		if now%(40*time.Millisecond) == 0 && l.TryBegin(now) { // 25 a second are offered
			inFlight = append(inFlight, response{now + 150*time.Millisecond})
		}
	}
	if rate := float64(sentBytes) / 20; rate < 0.82e6 || rate > 0.95e6 {
		t.Errorf("%.0f bytes a second are sent", rate)
	}
	if maxDelaySeconds > 2*maxLinkDelay.Seconds() {
		t.Errorf("responses wait %.2f s for the link", maxDelaySeconds)
	}
	l = NewLink(0)
	for range 2 {
		if !l.TryBegin(0) {
			t.Error("a link without a limit rejects long responses")
		}
	}
}
