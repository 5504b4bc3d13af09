package balance

import "testing"

// At shutdown open requests are answered within the given time, even if their clients would wait longer.
func TestShutdownLimitsOpenRequests(t *testing.T) {
	g := newHarness(t, baseConfig(), testServers(4)...)
	unsafe, _ := g.request(unsafeClass)
	safe, _ := g.request(safeClass)
	acts := g.handle(Shutdown{Within: 100})
	if g.now += 100; len(acts) != 2 {
		t.Fatalf("%+v: want a timer for each request", acts)
	}
	for id, kind := range map[RequestID]ActionKind{unsafe: Fail, safe: Refuse} {
		if acts := g.handle(TimerFired{Token: uint64(id)}); !hasAction(acts, kind) || !hasAction(acts, Cancel) {
			t.Errorf("request %d: %+v", id, acts)
		}
	}
}

// Shortly before the end of a shutdown a request is refused if its answer would arrive too late, as nothing was
// executed yet.
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
			t.Errorf("%v ms before the end of the shutdown: %+v", c.within, acts)
		}
	}
}

// A failed attempt is not retried if the sidecar will have shut down before the answer, and the deadline of an upload
// is not later than the end of the shutdown.
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
		t.Errorf("an upload at the end of the shutdown: %+v", acts)
	}
}
