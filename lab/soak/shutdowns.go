package soak

import (
	"context"
	"slices"
	"time"

	"firplank/lab/mesh"
)

const (
	// heldBack is for how long a server's heartbeats are held back before its shutdown: at least two are, as they are sent twice a second.
	heldBack = 1200 * time.Millisecond
	// delayedPause is the pause between two delayed heartbeats.
	delayedPause = 300 * time.Millisecond
	// announcePause is the pause between two attempts to announce a shutdown.
	announcePause = 200 * time.Millisecond
	// serveAfterKill is for how long a server that has shut down still serves, so that requests that reach it are seen: until its machine is
	// in touch after twice inTouch, and for a while after that.
	serveAfterKill = 2*inTouch + 3*time.Second
)

// killAfterShutdown holds a server's heartbeats back, makes the server shut down, kills processes right after the acknowledgement, starts
// them again, and delivers the heartbeats late and in their order. The judge finds requests that reach the server afterwards.
func (t *injector) killAfterShutdown(ctx context.Context, x Fault, proxy *mesh.Machine) {
	if !t.claimServer(proxy) {
		return
	}
	defer t.releaseServer(proxy)
	s := proxy.CurrentServer()
	s.DelayHeartbeats()
	sleep(ctx, heldBack)
	if t.announceShutdown(s, x.Other) {
		killed := shutdownVictims(t.run.mesh, proxy, x.Other)
		t.run.log.Event(t.run.now(), "closing", "server %s, acknowledged by %s; killed: %v", s.ID(), proxy.Name, names(killed))
		if len(killed) > 0 {
			t.kill(ctx, restartDelay, false, killed...)
		}
		sleep(ctx, x.For)
		count := s.SendDelayed(delayedPause)
		t.run.log.Event(t.run.now(), "late", "%d delayed heartbeats of %s are acknowledged", count, s.ID())
		sleep(ctx, serveAfterKill)
	}
	t.replaceServer(proxy)
}

// announceShutdown makes a server leave, or announce its closing, by a variant. It reports whether that was acknowledged within ackTimeout.
func (t *injector) announceShutdown(s *mesh.Server, variant int) bool {
	if variant%2 == 0 {
		s.AnnounceClosing()
		return mesh.Await(ackTimeout, "", s.Acked) == nil
	}
	for end := time.Now().Add(ackTimeout); time.Now().Before(end); time.Sleep(announcePause) {
		if s.Leave() {
			return true
		}
	}
	return false
}

// shutdownVictims returns the machines that are killed after a shutdown, by a variant: none, the server's own, also the core without one
// machine or all of it, or all.
func shutdownVictims(m *mesh.Mesh, proxy *mesh.Machine, variant int) []*mesh.Machine {
	variant /= 2
	const variants = 5
	switch variant % variants {
	case 0:
		return nil
	case 1:
		return []*mesh.Machine{proxy}
	case 2:
		spared := variant / variants % len(m.Core)
		return append(slices.Delete(slices.Clone(m.Core), spared, spared+1), proxy)
	case 3:
		return append(slices.Clone(m.Core), proxy)
	}
	return m.All()
}
