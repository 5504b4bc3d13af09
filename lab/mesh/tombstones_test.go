package mesh

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against an acknowledged shutdown of a server that is forgotten with the processes that knew it, so that two delayed heartbeats, in
// their order, bring the server back into rotation: its tombstone has to be on a majority of disks before the acknowledgement.
func TestAcknowledgedShutdownSurvivesKills(t *testing.T) {
	for i, c := range []struct {
		name     string
		announce func(*Server) bool
		killed   func(m *Mesh) []*Machine // besides the sidecar of the server
	}{
		{"leave, sidecar and core killed", (*Server).Leave, func(m *Mesh) []*Machine { return m.Core }},
		{"closing, sidecar and core killed", closeByHeartbeat, func(m *Mesh) []*Machine { return m.Core }},
		{"leave, sidecar and two of three core machines killed", (*Server).Leave, func(m *Mesh) []*Machine { return m.Core[:2] }},
		{"leave, all processes killed", (*Server).Leave, func(m *Mesh) []*Machine { return slices.Concat(m.Core, m.Branch[1:]) }},
	} {
		t.Run(c.name, func(t *testing.T) { testAcknowledgedShutdown(t, 64+i, c.announce, c.killed) })
	}
}

func testAcknowledgedShutdown(t *testing.T, net int, announce func(*Server) bool, killed func(m *Mesh) []*Machine) {
	const (
		inTouch = 3 * time.Second
		serving = 4 * time.Second // for which requests are sent once all machines are in touch
	)
	var inTouchFrom, late, served atomic.Int64
	m := startWithBounds(t, Config{Net: net, Core: 3, Tolerance: 1, Heartbeat: time.Second, Arrived: func(a Arrival) {
		from := inTouchFrom.Load()
		switch {
		case from == 0 || a.At.UnixNano() <= from:
		case a.SinceClosing > 0:
			late.Add(1)
		default:
			served.Add(1)
		}
	}})
	leaver := m.Branch[0].CurrentServer()
	leaver.heartbeatsStopped.Store(true)
	time.Sleep(inTouch / 3) // the last heartbeat that was not delayed
	must(t, Await(3*time.Second, "the shutdown is acknowledged", func() bool { return announce(leaver) }))
	restart(t, append([]*Machine{m.Branch[0]}, killed(m)...))
	inTouchFrom.Store(time.Now().Add(2 * inTouch).UnixNano()) // twice, as after a fault that took most of the core
	for i := range 2 {
		time.Sleep(600 * time.Millisecond)
		must(t, Await(2*time.Second, "a delayed heartbeat is acknowledged", func() bool {
			return leaver.SendHeartbeat(delayedSequence+i, false)
		}))
	}
	for end, n := time.Now().Add(2*inTouch+serving), 0; time.Now().Before(end); n++ {
		_, _, _ = m.Branch[2+n%2].Send(http.MethodGet, "plates.example", "/look/1", fmt.Sprintf("late-%d", n), nil) // judged on arrival
		time.Sleep(10 * time.Millisecond)
	}
	if late.Load() > 0 || served.Load() == 0 {
		t.Errorf("%d requests reached the server that had left, %d others", late.Load(), served.Load())
	}
}

// Sequences of heartbeats that are delayed, and of the one that says closing. All are above those of the heartbeats that came in time.
const (
	delayedSequence = 100
	closingSequence = 200
)

// closeByHeartbeat makes a server announce its shutdown by a heartbeat, and reports whether it was acknowledged.
func closeByHeartbeat(s *Server) bool {
	s.AnnounceClosing()
	if !s.SendHeartbeat(closingSequence, true) {
		return false
	}
	s.acknowledged()
	return true
}

// restart kills machines at the same moment, and starts them again.
func restart(t *testing.T, machines []*Machine) {
	t.Helper()
	for _, x := range machines {
		x.Signal(syscall.SIGKILL)
	}
	for _, x := range machines {
		<-x.Done()
	}
	for _, x := range machines {
		must(t, x.Start(false))
	}
}

// Control machines whose folders have no tombstones, as those of the releases before, count as complete: a shutdown is acknowledged, and a
// sidecar that restarts reads it.
func TestShutdownIsAcknowledgedAfterAnUpdate(t *testing.T) {
	m := startWithBounds(t, Config{Net: 68, Core: 3, Tolerance: 1, Heartbeat: time.Second})
	for _, x := range m.Core {
		x.Kill()
		must(t, os.RemoveAll(filepath.Join(m.cfg.Folder, x.Name, "data", "tombstones")))
	}
	for _, x := range m.Core {
		must(t, x.Start(false))
	}
	leaver := m.Branch[0].CurrentServer()
	must(t, Await(10*time.Second, "the shutdown is acknowledged", leaver.Leave))
	restart(t, []*Machine{m.Branch[0]})
	must(t, Await(10*time.Second, "the sidecar is ready", m.Branch[0].Ready))
	for i := range 2 {
		must(t, Await(2*time.Second, "a delayed heartbeat is acknowledged", func() bool {
			return leaver.SendHeartbeat(delayedSequence+i, false)
		}))
	}
	time.Sleep(3 * time.Second) // inTouchS
	if serves(m, leaver) {
		t.Error("a server that had left is in rotation")
	}
}

// serves reports whether a server gets one of some requests, whatever becomes of them.
func serves(m *Mesh, s *Server) bool {
	before := s.Served.Load()
	for n := range 20 {
		_, _, _ = m.Branch[2].Send(http.MethodGet, "plates.example", "/look/1", fmt.Sprintf("serves-%d-%d", before, n), nil)
	}
	return s.Served.Load() > before
}
