// Package soak runs a small mesh of real processes on loopback for a while, under troubles that overlap: kills, pauses,
// shutdowns in order, reloads, lost disks, cuts and slow links, lost answers, and servers, clients and operators that
// misbehave. A Judge tells from what clients, servers and operators see which promises were broken, and the processes'
// own invariants (internal/invariant) are counted with it.
//
// The troubles of a run come from its seed (Plan), so that a seed plays the same ones again; real processes on a real
// machine don't repeat to the millisecond. It needs no privilege: troubles are signals, and relays of package mesh
// between the processes.
//
// Start reading at Run.
package soak

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"firplank/internal/invariant"
	"firplank/lab/mesh"
)

// Config describes a run.
type Config struct {
	Seed      uint64
	Length    time.Duration // of the time in which troubles begin
	Folder    string        // for settings, disks and logs
	Programs  string        // folder of firplank-proxy and firplank-control
	Net       int           // as of mesh.Config
	Core      int
	Tolerance int // core machines that may lose their disks at once
	Branch    int // machines of each of the two services
	Clients   int // of each branch machine
	Slow      int // every process runs for one part in so much of the time; 0 or 1: all of it
	Only      []Kind
	Log       io.Writer // gets a JSON line for each trouble, acknowledgement and violation
}

// Report is the result of a run.
type Report struct {
	Seed       uint64        `json:"seed"`
	Length     time.Duration `json:"length"`
	Faults     int           `json:"troubles"`
	Skipped    int           `json:"skipped"` // troubles that would have lost more than the tolerance
	Counts     Counts        `json:"counts"`
	Stalls     int           `json:"stalls"` // times in which this process itself did not run
	Violations []Violation   `json:"violations"`
}

const (
	changeInterval = 700 * time.Millisecond // between two changes of the configuration
	readInterval   = 150 * time.Millisecond
	scrapeInterval = 2 * time.Second
	readyInterval  = 500 * time.Millisecond
	maxMissedReady = 2 // checks after which a machine gets no clients
	startTimeout   = 20 * time.Second
	stallCheck     = 50 * time.Millisecond
	stallLimit     = 250 * time.Millisecond
	settleTime     = 4 * time.Second // of undisturbed traffic at the end
)

// run is a run that is under way.
type run struct {
	cfg      Config
	mesh     *mesh.Mesh
	judge    *Judge
	log      *eventLog
	operator *operator
	load     *load
	injector *injector
	began    time.Time
	stalls   atomic.Int64
	skipped  atomic.Int64

	mu              sync.Mutex
	incarnations    map[string]int  // of processes, by machine
	missedReadiness map[string]int  // readiness checks that were missed in a row
	expectedEnds    map[string]bool // machines whose process is about to end, or has ended, by our doing
	violationCounts map[string]float64
	machines        map[string]*mesh.Machine
	machineByServer map[string]string // machine by the first part of its servers' ids
}

// Run plays a run. The error is of the laboratory; what the mesh has broken is in the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	r := &run{
		cfg: cfg, judge: NewJudge(), log: &eventLog{writer: cfg.Log}, incarnations: map[string]int{}, missedReadiness: map[string]int{},
		expectedEnds: map[string]bool{}, violationCounts: map[string]float64{}, machines: map[string]*mesh.Machine{},
		machineByServer: map[string]string{}, began: time.Now(),
	}
	r.operator, r.load = newOperator(r), &load{run: r}
	var err error
	r.mesh, err = mesh.Start(mesh.Config{
		Folder: cfg.Folder, Programs: cfg.Programs, Net: cfg.Net, Core: cfg.Core, Tolerance: cfg.Tolerance,
		Services: map[string]int{safeService: cfg.Branch, unsafeService: cfg.Branch}, Work: 15 * time.Millisecond,
		Zones: []string{"one", "two", "three"}, Links: true, Seed: cfg.Seed, Heartbeat: time.Second, Arrived: r.arrived, Calling: r.calling,
		Bounds: []string{
			"inTouchS=3", "receiptS=5", "syncS=4", "lastPostS=2.5", "graceS=6", "inForceS=2.5", "backSlackS=0.25", "recoveryS=15",
			"retryRatio=0.2", "retryWindowS=10", "retrySlack=60",
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "start the mesh")
	}
	defer r.mesh.Stop()
	r.indexMachines()
	r.injector = newInjector(r)
	slowContext, endSlowdown := context.WithCancel(ctx)
	defer r.injector.slowTasks.Wait()
	defer endSlowdown()
	r.injector.slowDown(slowContext, cfg.Slow)
	if err := r.awaitStart(ctx); err != nil {
		return nil, err
	}
	return r.runTraffic(ctx), nil
}

// nameMachines notes the machines by name and server.
func (r *run) indexMachines() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.mesh.All() {
		r.machines[x.Name] = x
		if x.Server != nil {
			r.machineByServer[x.Server.ID()] = x.Name
		}
	}
}

// awaitStart waits until the first configuration is acknowledged and all machines are ready.
func (r *run) awaitStart(ctx context.Context) error {
	order, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !r.operator.send(order, r.operator.next(""), 0) {
		return errors.New("the first configuration is not acknowledged")
	}
	return mesh.Await(startTimeout, "all branch machines are ready", func() bool {
		return !slices.ContainsFunc(r.mesh.Branch, func(x *mesh.Machine) bool { return !x.Ready() })
	})
}

// play plays the plan with traffic, lets the mesh recover, and judges.
func (r *run) runTraffic(ctx context.Context) *Report {
	r.began = time.Now()
	plan := Plan(r.cfg.Seed, r.cfg.Length, r.cfg.Only)
	traffic, stop := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	for i, x := range r.mesh.Branch {
		for c := range r.cfg.Clients {
			tasks.Go(func() { r.load.client(traffic, x, i*r.cfg.Clients+c) })
		}
	}
	tasks.Go(func() { r.operator.sendChanges(traffic, changeInterval) })
	tasks.Go(func() { r.operator.readBack(traffic, readInterval) })
	tasks.Go(func() { r.watchReadiness(traffic) })
	tasks.Go(func() { r.watchInvariants(traffic) })
	tasks.Go(func() { r.watchStalls(traffic) })
	r.injector.runPlan(ctx, plan)
	r.awaitRecovery(ctx)
	sleep(ctx, settleTime)
	stop()
	tasks.Wait()
	r.judgeEnd()
	return &Report{
		Seed: r.cfg.Seed, Length: r.cfg.Length, Faults: len(plan), Skipped: int(r.skipped.Load()), Counts: r.judge.Counts(),
		Stalls: int(r.stalls.Load()), Violations: r.judge.Violations(),
	}
}

// recover waits until the mesh serves again, in the time that the rules leave it.
func (r *run) awaitRecovery(ctx context.Context) {
	order, cancel := context.WithTimeout(ctx, recovery)
	defer cancel()
	if !r.operator.send(order, r.operator.next(""), 0) {
		r.judge.Report(r.now(), "RECOVER", "no configuration is acknowledged within %v", recovery)
	}
	for _, x := range r.mesh.Branch {
		if mesh.Await(recovery, "", x.Ready) != nil {
			r.judge.Report(r.now(), "RECOVER", "%s is not ready within %v", x.Name, recovery)
		}
	}
}

// finish judges the end: what is read back, the requests' runs, and the processes.
func (r *run) judgeEnd() {
	newest := r.judge.Newest()
	for _, x := range r.mesh.Core {
		var version uint32
		var text []byte
		err := mesh.Await(recovery, "", func() bool {
			status, body, err := x.Read()
			version, text = versionOf(body), body
			return err == nil && status == http.StatusOK
		})
		switch {
		case err != nil:
			r.judge.Report(r.now(), "CONFIG", "%s reads no configuration back within %v", x.Name, recovery)
		case version < newest || !r.operator.wasSent(version, text):
			r.judge.Report(r.now(), "CONFIG", "%s reads version %d back, and %d was acknowledged", x.Name, version, newest)
		}
	}
	r.load.mu.Lock()
	r.judge.Finish(r.now(), r.load.unsafeIDs)
	r.load.mu.Unlock()
	r.scrape()
	r.judgeProcesses()
	for _, v := range r.judge.Violations() {
		r.log.Event(v.At, "violation", "%s: %s", v.Rule, v.What)
	}
}

// judgeProcesses looks for processes that have ended by themselves, and for violated invariants and panics in the logs,
// which have those of processes that were killed too.
func (r *run) judgeProcesses() {
	for _, x := range r.mesh.All() {
		if !r.expectedEnd(x) && hasEnded(x) {
			r.judge.Report(r.now(), "FAULT", "%s has ended by itself", x.Name)
		}
		for line := range strings.Lines(x.Log()) {
			if indicatesFault(line) {
				r.judge.Report(r.now(), "INVARIANT", "%s: %s", x.Name, strings.TrimSpace(line))
			}
		}
	}
}

// tellsOfFault reports whether a line of a process's log tells of a violated invariant, a panic or a data race.
func indicatesFault(line string) bool {
	for _, text := range []string{invariant.LogMessage, "panic:", "DATA RACE", "fatal error:"} {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}

func hasEnded(x *mesh.Machine) bool {
	select {
	case <-x.Done():
		return true
	default:
		return false
	}
}

// now is the time since the start of traffic.
func (r *run) now() time.Duration { return time.Since(r.began) }

// lifeOf is which process of a machine runs.
func (r *run) incarnationOf(x *mesh.Machine) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnations[x.Name]
}

// expectEnd notes that a machine's process ends by our doing, and expectedEnd whether it does.
func (r *run) expectEnd(x *mesh.Machine, expected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expectedEnds[x.Name] = expected
	if !expected {
		r.incarnations[x.Name]++
	}
}

func (r *run) expectedEnd(x *mesh.Machine) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.expectedEnds[x.Name]
}

// serviceOf is the service of a machine's server.
func (r *run) serviceOf(machine string) string {
	r.mu.Lock()
	x := r.machines[machine]
	r.mu.Unlock()
	return x.Service()
}

// calling records that a server is about to make a call within a request: it is sent like a client's.
func (r *run) calling(id, machine string, timeout time.Duration) {
	r.judge.Sent(r.now(), id, machine, timeout)
}

// arrived records a request that runs at a server.
func (r *run) arrived(a mesh.Arrival) {
	r.mu.Lock()
	machine := r.machineByServer[a.Server[:min(len(a.Server), len("i-00000000"))]]
	r.mu.Unlock()
	r.judge.Arrived(a.At.Sub(r.began), machine, a)
}

// wantsClients reports whether the platform sends clients to a machine: it has not missed two readiness checks.
func (r *run) acceptsClients(x *mesh.Machine) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.missedReadiness[x.Name] < maxMissedReady
}
