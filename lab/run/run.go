// Package run plays a scenario: it starts the stand-ins and real sidecar processes, runs the clients, begins and ends the
// faults at their times, and returns a report. It owns the processes and the sequence of a run. The effect of a fault on a
// server is in lab/standin, the random plan in lab/scenario, and the check of the rules in lab/judge.
//
// Everything that a run starts has ended when Play returns: processes are waited for, sockets closed, goroutines joined.
package run

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"firplank/lab/judge"
	"firplank/lab/model"
	"firplank/lab/receiver"
	"firplank/lab/relay"
	"firplank/lab/scenario"
	"firplank/lab/standin"
)

const (
	// ruleSlack is added to the time limits of the rules, for delays in sockets and on a busy machine.
	ruleSlack        = 50 * time.Millisecond
	rosterDelayLimit = 6 * time.Second // after which a change in the roster counts as known to the sidecars
	settleTime       = 100 * time.Millisecond
)

// Options configure a run beside its scenario.
type Options struct {
	Program  Program
	Progress func(Progress) // called several times a second; nil: no progress reports
	// ExtraSlack is added to the time limits of the rules on a machine that has other load too.
	ExtraSlack time.Duration
	// Graphite makes the sidecars report to a stand-in for Graphite, from which Report.Reported is filled.
	Graphite bool
}

// Progress is the progress of a run.
type Progress struct {
	At, Length time.Duration
	Sent       int
	Answered   int
	Faults     []string // the kinds that are active
}

// slot is a place in the fleet. The server in it changes when a fault replaces the server.
type slot struct {
	candidate scenario.Candidate
	server    *standin.Server
	entry     standin.Entry
}

// testbed is everything that a run has started.
type testbed struct {
	s              *scenario.Scenario
	clock          standin.Clock
	judge          *judge.Judge
	recorder       *recorder
	cells          []*standin.Cell
	sharedKeys     *standin.Cell // the memory of idempotency keys that all servers share
	roster         *standin.Roster
	carbon         *receiver.Carbon // nil: sidecars don't report
	nodes          []*process
	links          *relay.Relay  // between sidecars; nil: they exchange no updates
	sumsEqualAfter time.Duration // time from the end of the run until all sidecars reported equal sums
	fleetChecks    int           // checks of the sidecars' sums

	sentBeforeAllDown uint64 // requests sent before the last time at which no sidecar ran
	callers           *standin.Clients
	dir               string
	slack             time.Duration // added to the time limits of the rules

	mu      sync.Mutex
	budgets map[string]float64 // by tenant: the factor of its budget
	fleet   []*slot
	errs    []error
	tasks   sync.WaitGroup
}

// Play plays a validated scenario and returns the report. Broken rules are in the report and are no error.
func Play(ctx context.Context, s *scenario.Scenario, opts Options) (*Report, error) {
	plan, err := s.Draw()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "firplank-lab-")
	if err != nil {
		return nil, fmt.Errorf("run: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder, which may stay
	st := &testbed{s: s, dir: dir, sharedKeys: standin.NewCell(), slack: ruleSlack + opts.ExtraSlack}
	defer st.close()
	if opts.Graphite {
		if st.carbon, err = receiver.NewCarbon(true); err != nil {
			return nil, fmt.Errorf("run: receiver: %w", err)
		}
	}
	if err := st.build(ctx, opts.Program); err != nil {
		return nil, err
	}
	return st.play(ctx, plan, opts)
}

// buildServers starts the servers, the roster and the judge.
func (st *testbed) buildServers() error {
	s := st.s
	st.clock = standin.StartClock()
	st.judge = judge.New(judge.Config{
		Classes: judgeClasses(s), Slack: answerSlackMS*time.Millisecond + st.slack,
		DrainGrace: scenario.MS(s.Fleet.DrainGraceMS) + st.slack, NotifiedAfter: rosterDelayLimit, ArrivalSlack: st.slack,
		PollWithin: queryLimit(s),
	})
	st.recorder = newRecorder(st.judge, s.Length())
	for range s.Fleet.Cells {
		st.cells = append(st.cells, standin.NewCell())
	}
	perCall := time.Duration(0)
	if s.Roster.CallsPerS > 0 {
		perCall = time.Duration(float64(time.Second) / s.Roster.CallsPerS)
	}
	var err error
	st.roster, err = standin.NewRoster(standin.RosterConfig{
		Push: s.Roster.Mode == "push", ChangeDelay: scenario.MS(s.Roster.DelayMS), ServiceTime: perCall,
		MaxQueueWait: scenario.MS(s.Roster.MaxWaitMS), AlwaysFull: s.Roster.AlwaysFull, Clock: st.clock, Observer: st.judge,
	}, s.Sidecars)
	if err != nil {
		return err
	}
	for _, k := range s.Fleet.Kinds {
		for range k.Count {
			if _, err := st.addServer(k, false); err != nil {
				return err
			}
		}
	}
	return nil
}

// queryLimit is the time within which a sidecar has to query the roster; 0 if the roster pushes its list.
func queryLimit(s *scenario.Scenario) time.Duration {
	if s.Roster.Mode == "push" {
		return 0
	}
	return queryWithinMS * time.Millisecond
}

// contracts returns the path of the folder with the tenants' contracts.
func (st *testbed) contracts() string { return filepath.Join(st.dir, "contracts") }

func (st *testbed) build(ctx context.Context, program Program) error {
	if err := st.buildServers(); err != nil {
		return err
	}
	s := st.s
	if s.EnforcesContracts() {
		if err := writeContracts(st.contracts(), s, nil); err != nil {
			return err
		}
	}
	if s.Talk.Enabled {
		var err error
		if st.links, err = relay.New(s.Sidecars, s.Seed); err != nil {
			return err
		}
	}
	for i := range s.Sidecars {
		path, err := writeConfig(st.dir, s, i, "127.0.0.1:0", st.roster.Addr(i), st.roster.Current(i), st.links)
		if err != nil {
			return err
		}
		n := &process{number: i, program: program, config: path, cores: s.Limits.Cores, rpc: s.Clients.RPC()}
		if s.Clients.RPC() || s.RPCServers() || s.EnforcesContracts() || s.Clients.Held > 0 || st.carbon != nil || s.Talk.Enabled {
			n.options = func(listen string) ([]byte, error) { return sidecarOptions(s, listen, st.contracts(), st.carbon) }
		}
		st.nodes = append(st.nodes, n)
	}
	for _, n := range st.nodes {
		if err := n.start(ctx); err != nil {
			return err
		}
	}
	for _, n := range st.nodes {
		if err := n.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func judgeClasses(s *scenario.Scenario) (all []judge.Class) {
	for _, c := range s.Classes {
		all = append(all, judge.Class{Effect: c.Effect, Group: c.Group, Window: scenario.MS(c.WindowMS)})
	}
	return all
}

// addServer starts another server and adds it to the roster.
func (st *testbed) addServer(k scenario.Kind, cold bool) (*slot, error) {
	st.mu.Lock()
	number := len(st.fleet)
	st.mu.Unlock()
	f := &st.s.Fleet
	cell := number % f.Cells
	spec := model.Spec{
		Cores: k.Cores, Speed: k.Speed, Slots: int(k.Cores * float64(k.SlotsPerCore)), Queue: int(k.Cores * float64(k.QueuePerCore)),
		Thrash: f.Thrash, ThrashAt: f.ThrashAt, ColdFrom: f.ColdFrom, ColdFor: scenario.MS(f.ColdS * 1000),
		FallMultiple: f.FallMultiple, FallFor: scenario.MS(f.FallS * 1000), DropsExpired: f.DropsExpired,
		ReportEvery: scenario.MS(f.ReportEveryMS), ReportDelay: scenario.MS(f.ReportDelayMS),
	}
	classes := map[string]standin.ServerClass{}
	for i, c := range st.s.Classes {
		memory := st.sharedKeys
		if c.Group == "cell" {
			memory = st.cells[cell]
		}
		classes[c.Name] = standin.ServerClass{
			Keyed: c.Effect == "keyed", Cell: memory, Window: scenario.MS(c.WindowMS),
			Work: func(trace string) (work, wait time.Duration) { return st.s.Work(i, trace) },
		}
	}
	server, err := standin.NewServer(standin.ServerConfig{
		ID: fmt.Sprintf("s-%02d", number), Cell: cell, Spec: spec, Cold: cold, Classes: classes, Reports: reportFields, Probes: true,
		HandshakeWork: scenario.MS(f.HandshakeMS), MaxConns: f.MaxConns, IdleTimeout: scenario.MS(f.IdleS * 1000),
		RPC: k.RPC(), Clock: st.clock, Observer: st.recorder,
	}, st.s.Sidecars)
	if err != nil {
		return nil, err
	}
	sl := &slot{candidate: scenario.Candidate{Number: number, Cell: cell, Kind: k.Name}, server: server}
	sl.entry = standin.Entry{ID: server.ID(), Addr: server.Addr, Zone: zone, Kind: k.Name, Cell: cell, Size: k.Cores * k.Speed / 2}
	if cold {
		sl.entry.UpSince = time.Now()
		st.roster.Set(sl.entry, "ready")
	} else {
		st.roster.SetNow(sl.entry, "ready")
	}
	st.mu.Lock()
	st.fleet = append(st.fleet, sl)
	st.mu.Unlock()
	return sl, nil
}

// play plays the plan on the testbed, stops the sidecars and servers, and returns the report.
func (st *testbed) play(ctx context.Context, plan *scenario.Plan, opts Options) (*Report, error) {
	addrs, rpcAddrs := st.addresses()
	held, err := standin.OpenHeldConns(ctx, addrs, st.s.Clients.Held)
	if err != nil {
		return nil, err
	}
	defer held.Close()
	// The plan's times are relative to this moment, all other times to the testbed's clock.
	offset := st.clock()
	st.recorder.setOffset(offset)
	st.callers = standin.NewClients(standin.ClientsConfig{
		Scenario: st.s, Plan: shiftPlan(plan, offset), Addrs: addrs, RPCAddrs: rpcAddrs, Clock: st.clock, Observer: st.recorder, Held: held,
		MaxOpenConns: max(16, st.s.Limits.Sockets/3), Linger: answerSlackMS*time.Millisecond + st.slack,
	})
	tallies := st.runClientsAndFaults(ctx, offset, opts)
	time.Sleep(settleTime) // attempts that are still in flight after their response have to be recorded
	if st.s.Talk.Enabled {
		st.awaitEqualSums(ctx)
	}
	use, crashes, err := st.stopSidecars()
	if err != nil {
		return nil, err
	}
	st.closeServers()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r := st.report(tallies, offset)
	r.Use = use
	r.Crashes = append(crashes, r.Crashes...)
	return r, nil
}

// addresses returns the sidecars' addresses for HTTP, and those for MessagePack-RPC where clients use it.
func (st *testbed) addresses() (addrs, rpcAddrs []string) {
	for _, n := range st.nodes {
		addrs = append(addrs, n.address())
		if st.s.Clients.RPC() {
			rpcAddrs = append(rpcAddrs, n.rpcAddress())
		}
	}
	return addrs, rpcAddrs
}

// shiftPlan returns a copy of a plan that begins later by offset.
func shiftPlan(plan *scenario.Plan, offset time.Duration) *scenario.Plan {
	later := &scenario.Plan{Arrivals: slices.Clone(plan.Arrivals)}
	for i := range later.Arrivals {
		later.Arrivals[i].At += offset
	}
	return later
}

// runClientsAndFaults runs the clients, with the faults at the same time, until all clients have ended.
func (st *testbed) runClientsAndFaults(ctx context.Context, offset time.Duration, opts Options) []standin.ArrivalOutcome {
	faultsCtx, endFaults := context.WithCancel(ctx)
	defer endFaults()
	var faults sync.WaitGroup
	faults.Go(func() { st.playFaults(faultsCtx, offset) })
	if opts.Progress != nil {
		faults.Go(func() { st.progress(faultsCtx, offset, opts.Progress) })
	}
	if st.s.Talk.Enabled {
		faults.Go(func() { st.checkSums(faultsCtx) })
	}
	tallies := st.callers.Run(ctx)
	endFaults()
	faults.Wait()
	st.tasks.Wait()
	return tallies
}

// stopSidecars stops the running sidecars, and returns the resources that all used and the crashes.
func (st *testbed) stopSidecars() (use ResourceUsage, crashes []string, err error) {
	for _, n := range st.nodes {
		if !n.running() {
			crashes = append(crashes, fmt.Sprintf("sidecar %d has ended: %v\n%s", n.number, n.exitErr, n.log.String()))
			continue
		}
		if err := n.signal(syscall.SIGTERM); err != nil {
			return ResourceUsage{}, nil, err
		}
	}
	for _, n := range st.nodes {
		if err := n.awaitExit(); err != nil {
			crashes = append(crashes, err.Error())
		}
		use.CPU += n.use.CPU
		use.MemoryKB = max(use.MemoryKB, n.use.MemoryKB)
	}
	return use, crashes, nil
}

// report closes the judge and returns the report, with times relative to the start of the plan.
func (st *testbed) report(tallies []standin.ArrivalOutcome, offset time.Duration) *Report {
	verdict := st.judge.Close(st.clock())
	for i := range verdict.Findings {
		verdict.Findings[i].At -= offset
	}
	for i := range tallies {
		tallies[i].At -= offset
	}
	r := newReport(st.s, tallies, verdict, st.recorder)
	if st.carbon != nil {
		r.Reported = reportedClasses(st.s, st.carbon, time.Now().Add(offset-st.clock()))
	}
	r.RosterCalls, r.Late = st.roster.Calls(), st.callers.MaxStartDelay()
	r.FleetChecks, r.SumsEqualAfter = st.fleetChecks, st.sumsEqualAfter
	if st.links != nil {
		r.Datagrams, r.DatagramsLost = st.links.Counts()
	}
	for _, err := range st.errs {
		r.Crashes = append(r.Crashes, err.Error())
	}
	return r
}

func (st *testbed) progress(ctx context.Context, offset time.Duration, show func(Progress)) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		p := Progress{At: st.clock() - offset, Length: st.s.Length()}
		p.Sent, p.Answered = st.recorder.counts()
		for i := range st.s.Faults {
			if f := &st.s.Faults[i]; p.At >= f.At() && p.At < f.At()+max(f.For(), 500*time.Millisecond) {
				p.Faults = append(p.Faults, f.Kind)
			}
		}
		show(p)
	}
}

func (st *testbed) closeServers() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, sl := range st.fleet {
		sl.server.Close()
	}
}

func (st *testbed) close() {
	for _, n := range st.nodes {
		n.close()
	}
	if st.roster != nil {
		st.roster.Close()
	}
	if st.carbon != nil {
		st.carbon.Stop()
	}
	if st.links != nil {
		st.links.Close()
	}
	st.closeServers()
}
