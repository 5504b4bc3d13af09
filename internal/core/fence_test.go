package core

import (
	"testing"
	"time"

	"firplank/balance"
	"firplank/internal/roster"
)

// served is a loop with two servers that are ready and one that drains, and what was sent to them.
func newLoopWithServers(t *testing.T) (*Loop, *fakeBackend) {
	b := &fakeBackend{}
	l := newLoop(t, b)
	l.applyList(&roster.List{Complete: true, Members: []roster.Member{
		{ID: "s-1", HostPort: "h:1", Phase: "ready", Size: 1}, {ID: "s-2", HostPort: "h:2", Phase: "ready", Size: 1},
		{ID: "s-3", HostPort: "h:3", Phase: "draining", Size: 1},
	}}, balance.ListFull)
	return l, b
}

func (l *Loop) beginTestRequest(client *recordingClient) {
	l.beginRequest(&Call{Received: l.timeAt(l.now), Request: balance.Request{Remaining: 20000}, Client: client})
}

// A list that may lack what counts as told is not sent by, from the moment that the time has come, whoever notices it; nor before a
// newer one is there.
func TestNothingIsSentByExpiredList(t *testing.T) {
	l, b := newLoopWithServers(t)
	got := &recordingClient{}
	l.now += 1000
	l.handle(listValidity{l.timeAt(l.now + 1000), l.timeAt(l.now + 6000)})
	l.updateFence()
	if l.beginTestRequest(got); len(b.begun) != 1 {
		t.Fatalf("a valid list: %d sent", len(b.begun))
	}
	l.now += 1000
	l.updateFence()
	if l.beginTestRequest(got); len(b.begun) != 1 || len(*got) != 0 {
		t.Fatalf("out of date: %d sent, %d answered", len(b.begun), len(*got))
	}
	l.applyList(&roster.List{Members: []roster.Member{{ID: "s-2", HostPort: "h:2", Phase: "draining", Size: 1}}}, balance.ListDelta)
	if l.endpoints["s-1"].Closed() != true {
		t.Error("an old entry was opened by a new list before that was said to be valid")
	}
	l.handle(listValidity{})
	l.updateFence()
	if l.endpoints["s-1"].Closed() || !l.endpoints["s-2"].Closed() || !l.endpoints["s-3"].Closed() {
		t.Error("after the new list the wrong servers are open")
	}
	if l.beginTestRequest(got); len(b.begun) != 2 || b.begun[1].Endpoint.Name() != "s-1" {
		t.Errorf("with the new list: %d sent", len(b.begun))
	}
}

// A discovery that answers nobody for long must not end the service.
func TestExpiredListIsUsedAgainAfterLapse(t *testing.T) {
	l, b := newLoopWithServers(t)
	l.handle(listValidity{l.timeAt(l.now - 1), l.timeAt(l.now + 5000)})
	l.updateFence()
	if at := l.nextFenceCheck(); at < l.now+4999 || at > l.now+5001 {
		t.Errorf("looks again at %v", at-l.now)
	}
	l.now += 5001
	l.updateFence()
	if l.beginTestRequest(&recordingClient{}); len(b.begun) != 1 {
		t.Errorf("%d sent", len(b.begun))
	}
}

// A process that stood still finds requests and news at once when it goes on: the news come first.
func TestPendingUpdatesPrecedeRequestsAfterPause(t *testing.T) {
	l, b := newLoopWithServers(t)
	updatesPending := true
	l.cfg.UpdatesPending = func() bool { return updatesPending }
	l.lastRunAt = l.millisAt(time.Now()) - 2*longPauseMillis
	l.resume()
	if l.beginTestRequest(&recordingClient{}); len(b.begun) != 0 {
		t.Fatalf("%d sent before the news", len(b.begun))
	}
	l.inbox <- listUpdate{&roster.List{Members: []roster.Member{{ID: "s-1", HostPort: "h:1", Phase: "draining", Size: 1}}}}
	updatesPending = false
	l.checkPendingUpdates()
	l.updateFence()
	if l.beginTestRequest(&recordingClient{}); len(b.begun) != 1 || b.begun[0].Endpoint.Name() != "s-2" {
		t.Errorf("%d sent after the news", len(b.begun))
	}
	updatesPending, l.lastRunAt = true, l.millisAt(time.Now())
	if l.resume(); l.fenced {
		t.Error("it looked though it ran all the time")
	}
	l.lastRunAt -= 2 * longPauseMillis
	l.resume()
	l.updatesPendingSince -= 2 * maxUpdateWaitMillis
	if l.checkPendingUpdates(); l.updatesPending {
		t.Error("an answer that trickles is waited for without end")
	}
}
