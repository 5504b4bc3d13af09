package soak

import (
	"context"
	"sync"
	"time"

	"firplank/lab/mesh"
)

// injectLinkFault carries out a fault of links.
func (t *injector) injectLinkFault(ctx context.Context, x Fault) {
	all, network := t.run.mesh.All(), t.run.mesh.Network
	everybody := names(all)
	target := all[x.Target%len(all)]
	switch x.Kind {
	case CoreHalves:
		halves := t.run.mesh.Core
		one, other := everyNth(halves, 2, 0), everyNth(halves, 2, 1)
		t.degradeLinks(ctx, x.For, halves, linkFault{names(one), names(other), mesh.Link{Cut: true}},
			linkFault{names(other), names(one), mesh.Link{Cut: true}})
	case CoreOff, NodeCut:
		target = t.run.mesh.Core[x.Target%len(t.run.mesh.Core)]
		if x.Kind == NodeCut {
			target = t.run.mesh.Branch[x.Target%len(t.run.mesh.Branch)]
		}
		alone := []string{target.Name}
		t.degradeLinks(ctx, x.For, []*mesh.Machine{target}, linkFault{alone, everybody, mesh.Link{Cut: true}},
			linkFault{everybody, alone, mesh.Link{Cut: true}})
	case OneWayCut:
		t.degradeLinks(ctx, x.For, []*mesh.Machine{target}, linkFault{[]string{target.Name}, everybody, mesh.Link{Cut: true}})
	case LinkSlow:
		alone, slow := []string{target.Name}, mesh.Link{Delay: slowLink}
		t.degradeLinks(ctx, x.For, []*mesh.Machine{target}, linkFault{alone, everybody, slow}, linkFault{everybody, alone, slow})
	case AnswerLost:
		t.degradeLinks(ctx, x.For, []*mesh.Machine{target}, linkFault{[]string{target.Name}, everybody, mesh.Link{LoseAnswers: lostAnswers}})
	case LinkReset:
		end := t.run.judge.BeginFault(t.run.now(), withCore([]*mesh.Machine{target})...)
		count := network.Reset(target.Name)
		t.run.log.Event(t.run.now(), "reset", "%d connections of %s", count, target.Name)
		end(t.run.now())
	}
}

// degradeLinks applies link faults for a time, and records machines as faulty for it. A link has two ends, but only the machine that the
// fault is about counts as out of touch.
func (t *injector) degradeLinks(ctx context.Context, length time.Duration, machines []*mesh.Machine, cuts ...linkFault) {
	ofCore := len(withCore(machines)) > len(machines)
	end := t.run.judge.BeginFault(t.run.now(), withCore(machines)...)
	t.mu.Lock()
	if ofCore {
		t.coreFaults++
	}
	var ids []int
	for _, c := range cuts {
		t.lastLinkFault++
		t.linkFaults[t.lastLinkFault] = c
		ids = append(ids, t.lastLinkFault)
	}
	t.mu.Unlock()
	t.apply()
	sleep(ctx, length)
	t.mu.Lock()
	for _, number := range ids {
		delete(t.linkFaults, number)
	}
	if ofCore {
		t.coreFaults--
		t.lastCoreRecovery = time.Now()
	}
	t.mu.Unlock()
	t.apply()
	end(t.run.now())
}

// apply sets the network to the link faults in force. Where several affect a link, one of them applies.
func (t *injector) apply() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.run.mesh.Network.Heal()
	for _, c := range t.linkFaults {
		t.run.mesh.Network.Set(c.from, c.to, c.link)
	}
}

// injectMisuse carries out a fault of operators or clients.
func (t *injector) injectMisuse(ctx context.Context, x Fault) {
	o, all := t.run.operator, t.run.mesh.Core
	switch x.Kind {
	case ConfigInvalid:
		o.sendInvalid(all[x.Target%len(all)], x.Other)
	case ClientLeave:
		t.run.load.cancelling.Store(true)
		sleep(ctx, x.For)
		t.run.load.cancelling.Store(false)
	case ConfigStorm:
		var tasks sync.WaitGroup
		for i := range stormSize {
			c := o.next("storm")
			tasks.Go(func() { t.sendChange(ctx, c, x.Target+i) })
		}
		tasks.Wait()
	case ConfigRace:
		mine := o.next("race")
		rival := o.conflictingChange(mine.version)
		var tasks sync.WaitGroup
		tasks.Go(func() { t.sendChange(ctx, mine, x.Target) })
		tasks.Go(func() { t.sendChange(ctx, rival, x.Target+1) })
		tasks.Wait()
	}
}

// sendChange sends a change until it has a definite answer, for at most twice the recovery time. It reports whether the change was
// acknowledged.
func (t *injector) sendChange(ctx context.Context, c change, first int) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*recovery)
	defer cancel()
	return t.run.operator.send(ctx, c, first)
}

// killAfterAck kills a control machine right after it has acknowledged a configuration.
func (t *injector) killAfterAck(ctx context.Context, x Fault, control *mesh.Machine) {
	order, cancel := context.WithTimeout(ctx, receipt)
	defer cancel()
	c := t.run.operator.next("")
	t.run.judge.sentChange()
	if status, err := control.Put(c.text); err != nil || status != 200 {
		t.sendChange(order, c, x.Target)
		return
	}
	t.run.operator.acknowledged(c)
	t.run.judge.Acknowledged(t.run.now(), t.run.now(), c)
	t.run.log.Event(t.run.now(), "acknowledged", "%v by %s, which is killed", c, control.Name)
	t.kill(ctx, x.For, false, control)
}

// Times of a server that closes and is replaced.
const (
	ackPoll       = 10 * time.Millisecond
	ackTimeout    = 3 * time.Second
	serveAfterAck = 3500 * time.Millisecond // from the acknowledgement to the server's end; longer than lastPost
)

// killAfterClosing makes a server announce its closing, or leave, and kills its sidecar right after the acknowledgement.
func (t *injector) killAfterClosing(ctx context.Context, x Fault, proxy *mesh.Machine) {
	if !t.claimServer(proxy) {
		return
	}
	defer t.releaseServer(proxy)
	s := proxy.CurrentServer()
	if x.Other%2 == 0 {
		s.Leave()
	} else {
		s.AnnounceClosing()
		_ = mesh.Await(ackTimeout, "", s.Acked) // Acked is checked next
	}
	if s.Acked() {
		t.run.log.Event(t.run.now(), "closing", "server %s, acknowledged by %s, which is killed", s.ID(), proxy.Name)
		t.kill(ctx, restartDelay, false, proxy)
		sleep(ctx, 2*serveAfterAck)
	}
	t.replaceServer(proxy)
}

// injectServerFault carries out a fault of a server.
func (t *injector) injectServerFault(ctx context.Context, x Fault, proxy *mesh.Machine) {
	if !t.claimServer(proxy) {
		return
	}
	defer t.releaseServer(proxy)
	s := proxy.CurrentServer()
	switch x.Kind {
	case ServerCrash:
		t.run.judge.ServerEnded(t.run.now(), s.ID())
		s.Stop()
		sleep(ctx, x.For)
		t.replaceServer(proxy)
	case ServerClose, ServerLeave:
		if x.Kind == ServerLeave {
			s.Leave()
		} else {
			s.AnnounceClosing()
			_ = mesh.Await(ackTimeout, "", s.Acked) // without an acknowledgement the server ends all the same
		}
		sleep(ctx, serveAfterAck)
		if x.Kind == ServerClose {
			s.Leave()
		}
		t.replaceServer(proxy)
	case ServerSlow:
		t.misbehave(ctx, x.For, s, mesh.Behaviour{Delay: 300 * time.Millisecond})
	case ServerDrop:
		t.misbehave(ctx, x.For, s, mesh.Behaviour{Drop: 0.3})
	case ServerGarble:
		t.misbehave(ctx, x.For, s, mesh.Behaviour{Garble: 0.3})
	case ServerRefuse:
		t.misbehave(ctx, x.For, s, mesh.Behaviour{Refuse: 0.5})
	}
}

func (t *injector) misbehave(ctx context.Context, length time.Duration, s *mesh.Server, b mesh.Behaviour) {
	s.SetBehaviour(b)
	sleep(ctx, length)
	s.SetBehaviour(mesh.Behaviour{})
}

// replaceServer ends a machine's server and starts its successor.
func (t *injector) replaceServer(x *mesh.Machine) {
	t.run.judge.ServerEnded(t.run.now(), x.CurrentServer().ID())
	next, err := x.ReplaceServer()
	if err != nil {
		t.run.log.Event(t.run.now(), "laboratory", "replace the server of %s: %v", x.Name, err)
		return
	}
	t.run.log.Event(t.run.now(), "server", "%s is new on %s", next.ID(), x.Name)
}

// serverKey is the key of a machine's server in busy.
func serverKey(x *mesh.Machine) string { return "server of " + x.Name }

// claimServer marks a machine's server as busy. If it is already, the fault counts as skipped, and the result is false.
func (t *injector) claimServer(x *mesh.Machine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy[serverKey(x)] {
		t.run.skipped.Add(1)
		return false
	}
	t.busy[serverKey(x)] = true
	return true
}

func (t *injector) releaseServer(x *mesh.Machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, serverKey(x))
}
