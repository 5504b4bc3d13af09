package report

import (
	"sync"
	"testing"
)

// In every snapshot what was asked is what has ended and what is open, and no more has ended than came.
func TestSnapshotsAddUp(t *testing.T) {
	c := New(2)
	c.Asked(7) // a class that there is not
	var counting sync.WaitGroup
	for i := range 4 {
		counting.Go(func() {
			for n := range 5000 {
				c.Asked(i % 2)
				c.Sent()
				c.Ended(i%2, Kind(n%int(kinds)))
			}
		})
	}
	done := make(chan bool)
	go func() { counting.Wait(); close(done) }()
	for over := false; !over; {
		select {
		case <-done:
			over = true
		default:
		}
		s := c.Snapshot()
		for i, k := range s.Classes {
			if k.Open < 0 || k.Asked != k.Served+k.Refused+k.Failed+k.Open {
				t.Fatalf("class %d: %+v", i, k)
			}
		}
		if over && (s.Open != 0 || s.Sends != 20000 || s.Classes[0].Asked+s.Classes[1].Asked != 20000) {
			t.Errorf("in the end %+v", s)
		}
	}
	(*Counts)(nil).Asked(0)
}
