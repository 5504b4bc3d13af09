package core

import (
	"slices"
	"testing"
	"time"
)

// An excluded server and its idle connections are closed, and it gets no attempts; after the exclusion it is open again.
func TestExcludedServersGetNoAttempts(t *testing.T) {
	l, b := newLoopWithServers(t)
	since := l.timeAt(l.now)
	before := len(b.idleClosed)
	l.SetExcluded(map[string]time.Time{"s-1": since, "unlisted": since})
	if !l.endpoints["s-1"].Closed() || !slices.Equal(b.idleClosed[before:], []string{"s-1"}) {
		t.Fatalf("excluded: closed %v, idle connections closed at %v", l.endpoints["s-1"].Closed(), b.idleClosed[before:])
	}
	if c := l.CountServers(); c.Unhealthy != 1 || c.Size != len(l.endpoints) {
		t.Errorf("counted %+v, want one unhealthy of %d", c, len(l.endpoints))
	}
	if !l.EverListed("unlisted") || l.EverListed("never") {
		t.Error("an excluded server must count as listed, an unknown one must not")
	}
	for range 4 {
		l.beginTestRequest(&recordingClient{})
	}
	for _, a := range b.begun {
		if a.Endpoint.Name() == "s-1" {
			t.Error("an attempt at an excluded server")
		}
	}
	before = len(b.idleClosed)
	l.SetExcluded(nil)
	if l.endpoints["s-1"].Closed() || len(b.idleClosed) != before {
		t.Errorf("after the exclusion: closed %v, idle connections closed at %v", l.endpoints["s-1"].Closed(), b.idleClosed[before:])
	}
	if c := l.CountServers(); c.Unhealthy != 0 {
		t.Errorf("%d unhealthy after the exclusion", c.Unhealthy)
	}
}
