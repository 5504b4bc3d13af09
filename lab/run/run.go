// Package run plays a scenario: it starts the stand-ins and real sidecar processes, lets the clients loose, makes the
// faults happen at their times, and ends with a report. It owns the processes and the order of things; what a fault
// does to a server is in lab/standin, what is drawn in lab/scenario, and what was broken in lab/judge.
//
// Everything that a run starts has ended when Play returns: processes are waited for by id, sockets closed, goroutines
// joined.
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
	// ruleSlack is what sockets and a busy machine add to the time limits of the rules.
	ruleSlack        = 50 * time.Millisecond
	rosterDelayLimit = 6 * time.Second // what the roster has counts as told by then
	settleTime       = 100 * time.Millisecond
)

// Options are what a run is given beside its scenario.
type Options struct {
	Program  Program
	Progress func(Progress) // called some times a second; nil: not at all
	// Extra is what a machine that is not all the run's adds to the time limits of the rules.
	ExtraSlack time.Duration
	// Graphite has the sidecars report to a stand-in for Graphite, of which Report.Told is then made.
	Graphite bool
}

// Progress is how far a run is.
type Progress struct {
	At, Length time.Duration
	Sent       int
	Answered   int
	Faults     []string // that are on
}

// slot is a server of the fleet, whatever its id is at the time.
type slot struct {
	candidate scenario.Candidate
	server    *standin.Server
	entry     standin.Entry
}

// stage is all that a run has started.
type testbed struct {
	s              *scenario.Scenario
	clock          standin.Clock
	judge          *judge.Judge
	recorder       *recorder
	cells          []*standin.Cell
	sharedKeys     *standin.Cell // the memory of keys that every server shares
	roster         *standin.Roster
	carbon         *receiver.Carbon // nil: nobody is reported to
	nodes          []*process
	links          *relay.Relay  // between sidecars; nil: they do not talk
	sumsEqualAfter time.Duration // after which all told the same sums
	fleetChecks    int           // at what sidecars tell

	sentBeforeAllDown uint64 // requests of lives that ended together with all others
	callers           *standin.Clients
	dir               string
	slack             time.Duration // beyond the time limits of the rules

	mu      sync.Mutex
	budgets map[string]float64 // by tenant: what its budget is multiplied by
	fleet   []*slot
	errs    []error
	tasks   sync.WaitGroup
}

// Play plays a scenario that passed its check.
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

// asked is the limit for asking where sidecars ask the roster; 0 where it tells them.
func queryLimit(s *scenario.Scenario) time.Duration {
	if s.Roster.Mode == "push" {
		return 0
	}
	return queryWithinMS * time.Millisecond
}

// contracts is the folder of the tenants' contracts.
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

// addServer starts one more server and lists it.
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

// play plays the plan on what was started, ends it and reports.
func (st *testbed) play(ctx context.Context, plan *scenario.Plan, opts Options) (*Report, error) {
	addrs, rpcAddrs := st.addresses()
	held, err := standin.OpenHeldConns(ctx, addrs, st.s.Clients.Held)
	if err != nil {
		return nil, err
	}
	defer held.Close()
	// The plan's times count from here; all else goes by the one clock.
	offset := st.clock()
	st.recorder.setOffset(offset)
	st.callers = standin.NewClients(standin.ClientsConfig{
		Scenario: st.s, Plan: shiftPlan(plan, offset), Addrs: addrs, RPCAddrs: rpcAddrs, Clock: st.clock, Observer: st.recorder, Held: held,
		MaxOpenConns: max(16, st.s.Limits.Sockets/3), Linger: answerSlackMS*time.Millisecond + st.slack,
	})
	tallies := st.runClientsAndFaults(ctx, offset, opts)
	time.Sleep(settleTime) // what is on its way to a server past its answer has to be seen
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

// addresses returns where the sidecars listen for HTTP, and for MessagePack-RPC where clients speak that.
func (st *testbed) addresses() (addrs, rpcAddrs []string) {
	for _, n := range st.nodes {
		addrs = append(addrs, n.address())
		if st.s.Clients.RPC() {
			rpcAddrs = append(rpcAddrs, n.rpcAddress())
		}
	}
	return addrs, rpcAddrs
}

// shifted is a plan that begins later.
func shiftPlan(plan *scenario.Plan, offset time.Duration) *scenario.Plan {
	later := &scenario.Plan{Arrivals: slices.Clone(plan.Arrivals)}
	for i := range later.Arrivals {
		later.Arrivals[i].At += offset
	}
	return later
}

// callAmongFaults plays the clients, and the faults beside them, until all clients have ended.
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

// endSidecars ends those that run, and tells what all used and which ended by themselves.
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

// report has the judge close, and reports on all that was seen, by the plan's times.
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
