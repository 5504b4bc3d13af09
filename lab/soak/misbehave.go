package soak

import (
	"context"
	"sync"
	"time"

	"firplank/lab/mesh"
)

// link carries out a trouble of links.
func (t *troubles) link(ctx context.Context, x Trouble) {
	all, network := t.run.mesh.All(), t.run.mesh.Network
	everybody := names(all)
	some := all[x.Target%len(all)]
	switch x.Kind {
	case CoreHalves:
		halves := t.run.mesh.Core
		one, other := every(halves, 2, 0), every(halves, 2, 1)
		t.harm(ctx, x.For, halves, cut{names(one), names(other), mesh.Link{Cut: true}}, cut{names(other), names(one), mesh.Link{Cut: true}})
	case CoreOff, NodeCut:
		some = t.run.mesh.Core[x.Target%len(t.run.mesh.Core)]
		if x.Kind == NodeCut {
			some = t.run.mesh.Branch[x.Target%len(t.run.mesh.Branch)]
		}
		alone := []string{some.Name}
		t.harm(ctx, x.For, []*mesh.Machine{some}, cut{alone, everybody, mesh.Link{Cut: true}}, cut{everybody, alone, mesh.Link{Cut: true}})
	case OneWayCut:
		t.harm(ctx, x.For, []*mesh.Machine{some}, cut{[]string{some.Name}, everybody, mesh.Link{Cut: true}})
	case LinkSlow:
		alone, slow := []string{some.Name}, mesh.Link{Delay: slowLink}
		t.harm(ctx, x.For, []*mesh.Machine{some}, cut{alone, everybody, slow}, cut{everybody, alone, slow})
	case AnswerLost:
		t.harm(ctx, x.For, []*mesh.Machine{some}, cut{[]string{some.Name}, everybody, mesh.Link{LoseAnswers: lostAnswers}})
	case LinkReset:
		end := t.run.judge.Disturb(t.run.now(), withCore([]*mesh.Machine{some})...)
		count := network.Reset(some.Name)
		t.run.log.Event(t.run.now(), "reset", "%d connections of %s", count, some.Name)
		end(t.run.now())
	}
}

// harm harms links for a while. The machines are those that are in trouble by it: a link belongs to both its ends, but
// only the machine that a trouble is about counts as out of touch.
func (t *troubles) harm(ctx context.Context, length time.Duration, machines []*mesh.Machine, cuts ...cut) {
	ofCore := len(withCore(machines)) > len(machines)
	end := t.run.judge.Disturb(t.run.now(), withCore(machines)...)
	t.mu.Lock()
	if ofCore {
		t.away++
	}
	var mine []int
	for _, c := range cuts {
		t.lastCut++
		t.cuts[t.lastCut] = c
		mine = append(mine, t.lastCut)
	}
	t.mu.Unlock()
	t.apply()
	sleep(ctx, length)
	t.mu.Lock()
	for _, number := range mine {
		delete(t.cuts, number)
	}
	if ofCore {
		t.away--
		t.lastBack = time.Now()
	}
	t.mu.Unlock()
	t.apply()
	end(t.run.now())
}

// apply brings the network to the cuts that there are: the last one of a link counts.
func (t *troubles) apply() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.run.mesh.Network.Heal()
	for _, c := range t.cuts {
		t.run.mesh.Network.Set(c.from, c.to, c.link)
	}
}

// misuse carries out a trouble of operators and clients.
func (t *troubles) misuse(ctx context.Context, x Trouble) {
	o, all := t.run.operator, t.run.mesh.Core
	switch x.Kind {
	case ConfigInvalid:
		o.sendInvalid(all[x.Target%len(all)], x.Other)
	case ClientLeave:
		t.run.load.leaving.Store(true)
		sleep(ctx, x.For)
		t.run.load.leaving.Store(false)
	case ConfigStorm:
		var tasks sync.WaitGroup
		for i := range storm {
			c := o.next("storm")
			tasks.Go(func() { t.order(ctx, c, x.Target+i) })
		}
		tasks.Wait()
	case ConfigRace:
		mine := o.next("race")
		rival := o.rival(mine.version)
		var tasks sync.WaitGroup
		tasks.Go(func() { t.order(ctx, mine, x.Target) })
		tasks.Go(func() { t.order(ctx, rival, x.Target+1) })
		tasks.Wait()
	}
}

// order sends a change for as long as an operator tries.
func (t *troubles) order(ctx context.Context, c change, first int) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*recovery)
	defer cancel()
	return t.run.operator.send(ctx, c, first)
}

// killAfterAck kills a control machine right after it has acknowledged a configuration.
func (t *troubles) killAfterAck(ctx context.Context, x Trouble, control *mesh.Machine) {
	order, cancel := context.WithTimeout(ctx, receipt)
	defer cancel()
	c := t.run.operator.next("")
	t.run.judge.sentChange()
	if status, err := control.Put(c.text); err != nil || status != 200 {
		t.order(order, c, x.Target)
		return
	}
	t.run.operator.acknowledged(c)
	t.run.judge.Acknowledged(t.run.now(), t.run.now(), c)
	t.run.log.Event(t.run.now(), "acknowledged", "%v by %s, which is killed", c, control.Name)
	t.kill(ctx, x.For, false, control)
}

// Times of a server that is replaced.
const (
	ackPoll      = 10 * time.Millisecond
	ackTimeout   = 3 * time.Second
	serveOnAfter = 3500 * time.Millisecond // from the acknowledgement to the end, beyond lastPost
)

// killAfterClosing has a server announce its closing, or leave, and kills its sidecar right after the acknowledgement.
func (t *troubles) killAfterClosing(ctx context.Context, x Trouble, proxy *mesh.Machine) {
	if !t.claimServer(proxy) {
		return
	}
	defer t.releaseServer(proxy)
	s := proxy.CurrentServer()
	if x.Other%2 == 0 {
		s.Leave()
	} else {
		s.Close()
		_ = mesh.Await(ackTimeout, "", s.Acked) // Acked is looked at next
	}
	if s.Acked() {
		t.run.log.Event(t.run.now(), "closing", "server %s, acknowledged by %s, which is killed", s.ID(), proxy.Name)
		t.kill(ctx, restartDelay, false, proxy)
		sleep(ctx, 2*serveOnAfter)
	}
	t.replace(proxy)
}

// server carries out a trouble of a server.
func (t *troubles) server(ctx context.Context, x Trouble, proxy *mesh.Machine) {
	if !t.claimServer(proxy) {
		return
	}
	defer t.releaseServer(proxy)
	s := proxy.CurrentServer()
	switch x.Kind {
	case ServerCrash:
		t.run.judge.ServerGone(t.run.now(), s.ID())
		s.Stop()
		sleep(ctx, x.For)
		t.replace(proxy)
	case ServerClose, ServerLeave:
		if x.Kind == ServerLeave {
			s.Leave()
		} else {
			s.Close()
			_ = mesh.Await(ackTimeout, "", s.Acked) // a server without an acknowledgement ends all the same
		}
		sleep(ctx, serveOnAfter)
		if x.Kind == ServerClose {
			s.Leave()
		}
		t.replace(proxy)
	case ServerSlow:
		t.behave(ctx, x.For, s, mesh.Behaviour{Delay: 300 * time.Millisecond})
	case ServerDrop:
		t.behave(ctx, x.For, s, mesh.Behaviour{Drop: 0.3})
	case ServerGarble:
		t.behave(ctx, x.For, s, mesh.Behaviour{Garble: 0.3})
	case ServerRefuse:
		t.behave(ctx, x.For, s, mesh.Behaviour{Refuse: 0.5})
	}
}

func (t *troubles) behave(ctx context.Context, length time.Duration, s *mesh.Server, b mesh.Behaviour) {
	s.Behave(b)
	sleep(ctx, length)
	s.Behave(mesh.Behaviour{})
}

// replace starts the successor of a machine's server.
func (t *troubles) replace(x *mesh.Machine) {
	t.run.judge.ServerGone(t.run.now(), x.CurrentServer().ID())
	next, err := x.ReplaceServer()
	if err != nil {
		t.run.log.Event(t.run.now(), "laboratory", "replace the server of %s: %v", x.Name, err)
		return
	}
	t.run.log.Event(t.run.now(), "server", "%s is new on %s", next.ID(), x.Name)
}

// serverOf is the name under which a machine's server is busy.
func serverOf(x *mesh.Machine) string { return "server of " + x.Name }

// claimServer marks a machine's server as busy, unless it is.
func (t *troubles) claimServer(x *mesh.Machine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy[serverOf(x)] {
		t.run.skipped.Add(1)
		return false
	}
	t.busy[serverOf(x)] = true
	return true
}

func (t *troubles) releaseServer(x *mesh.Machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, serverOf(x))
}
