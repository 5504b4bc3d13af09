package controlplane

import "testing"

// What a machine says of itself is what its disk has: while a write is under way, that it votes or has the newest value is not said.
func TestStatusReportsOnlyWhatIsOnDisk(t *testing.T) {
	s := newTestServer()
	s.runSteps(10)
	s.proposeWrite(1)
	w := <-s.writes
	if c := s.reconciler.Status(s.now()); c.Accepted == w.State.Accepted || c.Voter {
		t.Errorf("before the disk has it: %+v", c)
	}
	s.handle(writeCompleted{number: w.Number})
	if c := s.reconciler.Status(s.now()); c.Accepted != w.State.Accepted || !c.Voter {
		t.Errorf("once the disk has it: %+v", c)
	}
}
