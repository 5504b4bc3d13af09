package run

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"firplank/lab/scenario"
	"firplank/lab/standin"
)

// timedAction is the begin or end of a fault, with its time on the testbed's clock.
type timedAction struct {
	at time.Duration
	do func(context.Context) error
}

// connectAfterTerm is how long clients keep opening connections to a sidecar after its SIGTERM.
const connectAfterTerm = 300 * time.Millisecond

// playFaults begins and ends the faults at their times until ctx ends, and then resumes the sidecars that are still paused.
func (st *testbed) playFaults(ctx context.Context, offset time.Duration) {
	var deeds []timedAction
	for i := range st.s.Faults {
		f := &st.s.Faults[i]
		begin, end := st.faultActions(i, f)
		if begin != nil {
			deeds = append(deeds, timedAction{offset + f.At(), begin})
		}
		if end != nil && f.ForS > 0 {
			deeds = append(deeds, timedAction{offset + f.At() + f.For(), end})
		}
	}
	slices.SortStableFunc(deeds, func(a, b timedAction) int { return int(a.at - b.at) })
	for _, d := range deeds {
		select {
		case <-time.After(d.at - st.clock()):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		if err := d.do(ctx); err != nil {
			st.recordError(err)
		}
	}
	for _, n := range st.nodes {
		if n.running() {
			_ = n.setPaused(false) // fails only where the process has ended
		}
	}
}

func (st *testbed) recordError(err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.errs = append(st.errs, err)
}

// targetServers returns the servers that a fault affects, chosen from the present fleet.
func (st *testbed) targetServers(fault int) (slots []*slot) {
	st.mu.Lock()
	defer st.mu.Unlock()
	var from []scenario.Candidate
	for _, sl := range st.fleet {
		from = append(from, sl.candidate)
	}
	for _, n := range st.s.AffectedBy(fault, from) {
		slots = append(slots, st.fleet[n])
	}
	return slots
}

func (st *testbed) targetSidecars(fault int) (nodes []*process) {
	var from []scenario.Candidate
	for _, n := range st.nodes {
		from = append(from, scenario.Candidate{Number: n.number})
	}
	for _, n := range st.s.AffectedBy(fault, from) {
		nodes = append(nodes, st.nodes[n])
	}
	return nodes
}

// faultActions returns the functions that begin and end a fault. Either may be nil.
func (st *testbed) faultActions(i int, f *scenario.Fault) (begin, end func(context.Context) error) {
	if f.Kind == "recontract" {
		return func(context.Context) error { return st.changeBudget(f) }, nil
	}
	switch f.Subject() {
	case scenario.SubjectRoster:
		return st.rosterActions(f)
	case scenario.SubjectLinks:
		return st.linkActions(f)
	case scenario.SubjectSidecars:
		var nodes []*process
		return func(ctx context.Context) error {
				nodes = st.targetSidecars(i)
				return forEach(nodes, func(n *process) error { return st.applyToSidecar(ctx, f, n) })
			}, func(ctx context.Context) error {
				return forEach(nodes, func(n *process) error { return st.revertOnSidecar(ctx, f, n) })
			}
	case scenario.SubjectClients:
		if f.Kind == "flood" {
			return func(ctx context.Context) error {
				for _, n := range st.nodes {
					st.tasks.Go(func() {
						ctx, cancel := context.WithTimeout(ctx, f.For())
						defer cancel()
						if st.s.Clients.RPC() {
							standin.FloodRPC(ctx, n.rpcAddress(), int(f.Size))
						} else {
							standin.Flood(ctx, n.address(), int(f.Size))
						}
					})
				}
				return nil
			}, nil
		}
		return nil, nil // a surge is part of the plan
	}
	var slots []*slot
	return func(context.Context) error {
			if f.Kind == "grow" {
				return st.addServers(int(f.Size))
			}
			slots = st.targetServers(i)
			return forEach(slots, func(sl *slot) error { return st.applyToServer(f, sl) })
		}, func(context.Context) error {
			return forEach(slots, func(sl *slot) error { return st.revertOnServer(f, sl) })
		}
}

// changeBudget changes a tenant's budget in its contract, and has all running sidecars reload the contracts.
func (st *testbed) changeBudget(f *scenario.Fault) error {
	if !st.s.EnforcesContracts() {
		return nil
	}
	st.mu.Lock()
	if st.budgets == nil {
		st.budgets = map[string]float64{}
	}
	st.budgets[f.Tenant()] = f.Size
	err := writeContracts(st.contracts(), st.s, st.budgets)
	st.mu.Unlock()
	if err != nil {
		return err
	}
	return forEach(st.nodes, func(n *process) error {
		if !n.running() {
			return nil // it reads the contracts when it starts
		}
		return n.signal(syscall.SIGHUP)
	})
}

func forEach[T any](all []T, do func(T) error) error {
	for _, x := range all {
		if err := do(x); err != nil {
			return err
		}
	}
	return nil
}

func (st *testbed) addServers(n int) error {
	for i := range n {
		if _, err := st.addServer(st.s.Fleet.Kinds[i%len(st.s.Fleet.Kinds)], true); err != nil {
			return err
		}
	}
	return nil
}

func (st *testbed) applyToServer(f *scenario.Fault, sl *slot) error {
	switch f.Kind {
	case "slow":
		sl.server.SetSlow(f.Size)
	case "crash", "leave_return":
		sl.server.Crash()
		st.roster.Set(sl.entry, "gone")
	case "replace":
		return st.replaceServer(sl)
	case "silent":
		sl.server.SetSilent(-1, true)
	case "cut":
		sl.server.SetSilent(int(f.Size), true)
	case "drain":
		sl.server.SetDraining(true)
		st.roster.Set(sl.entry, "draining")
	case "error":
		sl.server.SetErrors(f.Share)
	case "spoil":
		sl.server.SetSpoil(standin.Spoil{Form: f.Form, Share: f.Share, Delay: scenario.MS(f.DelayMS)})
	case "late_reports":
		sl.server.SetReportDelay(scenario.MS(f.Size * 1000))
	}
	return nil
}

func (st *testbed) revertOnServer(f *scenario.Fault, sl *slot) error {
	switch f.Kind {
	case "slow":
		sl.server.SetSlow(1)
	case "crash", "leave_return":
		if err := sl.server.Restart(); err != nil {
			return err
		}
		sl.entry.UpSince = time.Now()
		st.roster.Set(sl.entry, "ready")
	case "silent":
		sl.server.SetSilent(-1, false)
	case "cut":
		sl.server.SetSilent(int(f.Size), false)
	case "drain":
		sl.server.Crash()
		st.roster.Set(sl.entry, "gone")
	case "error":
		sl.server.SetErrors(0)
	case "spoil":
		sl.server.SetSpoil(standin.Spoil{})
	case "late_reports":
		sl.server.SetReportDelay(0)
	}
	return nil
}

// replaceServer crashes a server and starts another one at its address.
func (st *testbed) replaceServer(sl *slot) error {
	sl.server.Crash()
	st.roster.Set(sl.entry, "gone")
	next, err := sl.server.Replace(sl.server.ID() + "r")
	if err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	sl.server.Close()
	sl.server = next
	sl.entry.ID, sl.entry.UpSince = next.ID(), time.Now()
	st.roster.Set(sl.entry, "ready")
	return nil
}

func (st *testbed) rosterActions(f *scenario.Fault) (begin, end func(context.Context) error) {
	do := func(f func()) func(context.Context) error {
		return func(context.Context) error { f(); return nil }
	}
	switch f.Kind {
	case "roster_down":
		return do(func() { st.roster.SetDown(true) }), do(func() { st.roster.SetDown(false) })
	case "roster_slow":
		return do(func() { st.roster.SetSlow(scenario.MS(f.Size * 1000)) }), do(func() { st.roster.SetSlow(0) })
	case "roster_break":
		return do(func() { st.roster.SetBreak(f.Share) }), do(func() { st.roster.SetBreak(0) })
	case "roster_mute":
		return do(st.roster.Mute), nil
	case "roster_busy":
		return do(func() { st.roster.SetBusy(f.Share, scenario.MS(f.Size*1000)) }), do(func() { st.roster.SetBusy(0, 0) })
	case "roster_garble":
		return do(func() { st.roster.SetGarble(true) }), do(func() { st.roster.SetGarble(false) })
	}
	return do(st.roster.Restart), nil
}

func (st *testbed) applyToSidecar(ctx context.Context, f *scenario.Fault, n *process) error {
	switch f.Kind {
	case "kill":
		if err := n.signal(syscall.SIGKILL); err != nil {
			return err
		}
		st.judge.SidecarDown(n.number, st.clock())
		err := n.awaitExit()
		st.recordAllDown()
		return err
	case "stop":
		st.judge.SidecarDown(n.number, st.clock())
		return n.setPaused(true)
	case "hup":
		if _, err := writeConfig(st.dir, st.s, n.number, n.address(), st.roster.SecondAddr(n.number),
			st.roster.Current(n.number), st.links); err != nil {
			return err
		}
		return n.signal(syscall.SIGHUP)
	case "term":
		if err := n.signal(syscall.SIGTERM); err != nil {
			return err
		}
		st.tasks.Go(func() {
			select {
			case <-time.After(connectAfterTerm):
			case <-ctx.Done():
			}
			st.callers.SetShuttingDown(n.number, true)
			if err := n.awaitExit(); err != nil {
				st.recordError(err)
			}
			st.restartSidecar(n)
		})
	}
	return nil
}

func (st *testbed) revertOnSidecar(_ context.Context, f *scenario.Fault, n *process) error {
	switch f.Kind {
	case "kill":
		st.tasks.Go(func() { st.restartSidecar(n) })
	case "stop":
		err := n.setPaused(false)
		st.judge.SidecarUp(n.number, st.clock()+st.slack)
		return err
	}
	return nil
}

// restartSidecar starts a sidecar whose process has exited. Its clients use it once it is ready.
func (st *testbed) restartSidecar(n *process) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	st.judge.SidecarStarted(n.number, st.clock())
	err := n.start(ctx)
	if err == nil {
		err = n.awaitReady(ctx)
	}
	if err != nil {
		st.recordError(fmt.Errorf("restart: %w", err))
		return
	}
	st.judge.SidecarUp(n.number, st.clock())
	st.callers.SetShuttingDown(n.number, false)
}
