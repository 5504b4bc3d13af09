package core

import (
	"testing"
	"time"

	"firplank/balance"
	"firplank/internal/roster"
)

// newLoopWithServers returns a loop with two ready servers and a draining one, and their backend.
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

// From the end of its validity on, nothing is sent to the servers of a list that may lack updates, until a newer list is
// declared valid.
func TestNothingIsSentByExpiredList(t *testing.T) {
	l, b := newLoopWithServers(t)
	got := &recordingClient{}
	l.now += 1000
	l.handle(listValidity{l.timeAt(l.now + 1000), l.timeAt(l.now + 6000)})
	l.updateFence()
	if l.beginTestRequest(got); len(b.begun) != 1 {
		t.Fatalf("with a valid list: %d sent", len(b.begun))
	}
	l.now += 1000
	l.updateFence()
	if l.beginTestRequest(got); len(b.begun) != 1 || len(*got) != 0 {
		t.Fatalf("with an expired list: %d sent, %d answered", len(b.begun), len(*got))
	}
	l.applyList(&roster.List{Members: []roster.Member{{ID: "s-2", HostPort: "h:2", Phase: "draining", Size: 1}}}, balance.ListDelta)
	if l.endpoints["s-1"].Closed() != true {
		t.Error("a new list opened an old entry before the list was declared valid")
	}
	l.handle(listValidity{})
	l.updateFence()
	if l.endpoints["s-1"].Closed() || !l.endpoints["s-2"].Closed() || !l.endpoints["s-3"].Closed() {
		t.Error("wrong servers are open after the new list")
	}
	if l.beginTestRequest(got); len(b.begun) != 2 || b.begun[1].Endpoint.Name() != "s-1" {
		t.Errorf("with the new list: %d sent", len(b.begun))
	}
}

// If discovery is unavailable for long, the old list is used again after a limited time, so that the service continues.
func TestExpiredListIsUsedAgainAfterLapse(t *testing.T) {
	l, b := newLoopWithServers(t)
	l.handle(listValidity{l.timeAt(l.now - 1), l.timeAt(l.now + 5000)})
	l.updateFence()
	if at := l.nextFenceCheck(); at < l.now+4999 || at > l.now+5001 {
		t.Errorf("next check in %v ms", at-l.now)
	}
	l.now += 5001
	l.updateFence()
	if l.beginTestRequest(&recordingClient{}); len(b.begun) != 1 {
		t.Errorf("%d sent", len(b.begun))
	}
}

// A process that was stopped finds requests and updates of the server list together when it continues. The updates have to
// be applied first.
func TestPendingUpdatesPrecedeRequestsAfterPause(t *testing.T) {
	l, b := newLoopWithServers(t)
	updatesPending := true
	l.cfg.UpdatesPending = func() bool { return updatesPending }
	l.lastRunAt = l.millisAt(time.Now()) - 2*longPauseMillis
	l.resume()
	if l.beginTestRequest(&recordingClient{}); len(b.begun) != 0 {
		t.Fatalf("%d sent before the updates", len(b.begun))
	}
	l.inbox <- listUpdate{&roster.List{Members: []roster.Member{{ID: "s-1", HostPort: "h:1", Phase: "draining", Size: 1}}}}
	updatesPending = false
	l.checkPendingUpdates()
	l.updateFence()
	if l.beginTestRequest(&recordingClient{}); len(b.begun) != 1 || b.begun[0].Endpoint.Name() != "s-2" {
		t.Errorf("%d sent after the updates", len(b.begun))
	}
	updatesPending, l.lastRunAt = true, l.millisAt(time.Now())
	if l.resume(); l.fenced {
		t.Error("pending updates were checked without a pause of the loop")
	}
	l.lastRunAt -= 2 * longPauseMillis
	l.resume()
	l.updatesPendingSince -= 2 * maxUpdateWaitMillis
	if l.checkPendingUpdates(); l.updatesPending {
		t.Error("the wait for a slow answer is not limited")
	}
}
