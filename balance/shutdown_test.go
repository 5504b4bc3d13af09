package balance

import "testing"

// What is open when the sidecar is told to end is answered by then, though its client would wait for longer.
func TestShutdownLimitsOpenRequests(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	unsafe, _ := g.request(unsafeClass)
	safe, _ := g.request(safeClass)
	acts := g.handle(Shutdown{Within: 100})
	if g.now += 100; len(acts) != 2 {
		t.Fatalf("%+v: want a timer for each", acts)
	}
	for id, kind := range map[RequestID]ActionKind{unsafe: Fail, safe: Refuse} {
		if acts := g.handle(TimerFired{Token: uint64(id)}); !hasAction(acts, kind) || !hasAction(acts, Cancel) {
			t.Errorf("request %d: %+v", id, acts)
		}
	}
}

// Near the end nothing is sent of which the answer would come too late: it is refused while nothing has run.
func TestShutdownStartsNoAttemptThatCannotFinish(t *testing.T) {
	for _, c := range []struct {
		within float64
		sent   bool
	}{{0, false}, {40, false}, {400, true}} {
		g := newHarness(t, baseConfig(), testServers(4)...)
		for range 10 { // answers take 50 ms
			id, _ := g.request(unsafeClass)
			g.now += 50
			g.endAttempt(id, 0, OK, 50)
		}
		g.handle(Shutdown{Within: c.within})
		_, acts := g.request(unsafeClass)
		if _, sent := sentTo(acts); sent != c.sent || hasAction(acts, Refuse) == c.sent {
			t.Errorf("%v ms before the end: %+v", c.within, acts)
		}
	}
}

// A failed attempt is not followed by one that the sidecar does not live to see answered, and an upload's clock does not run
// beyond the end.
func TestShutdownStopsRetriesAndUploads(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	id, _ := g.request(safeClass)
	g.lastID++
	upload := g.lastID
	g.handle(Request{ID: upload, Class: unsafeClass, Remaining: 500, Upload: true})
	g.handle(Shutdown{Within: 120})
	if acts := g.endAttempt(id, 0, Reset, 10); hasAction(acts, Send) || !hasAction(acts, Refuse) {
		t.Errorf("after a reset: %+v", acts)
	}
	g.handle(UploadComplete{Request: upload, Attempt: 0})
	g.now += 120
	if acts := g.handle(TimerFired{Token: uint64(upload)}); !hasAction(acts, Fail) {
		t.Errorf("an upload at the end: %+v", acts)
	}
}
