package controlplane

import "testing"

// Guards against a status that rests on unsynced state: while a write is in flight, the machine reports neither that it is a voter nor
// that it has the newest value.
func TestStatusReportsOnlyWhatIsOnDisk(t *testing.T) {
	s := newTestServer()
	s.runSteps(10)
	s.proposeWrite(1)
	w := <-s.writes
	if c := s.reconciler.Status(s.now()); c.Accepted == w.State.Accepted || c.Voter {
		t.Errorf("while the write is in flight: %+v", c)
	}
	s.handle(writeCompleted{number: w.Number})
	if c := s.reconciler.Status(s.now()); c.Accepted != w.State.Accepted || !c.Voter {
		t.Errorf("after the write: %+v", c)
	}
}
