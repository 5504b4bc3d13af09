// Package soak runs a small mesh of real processes on loopback under overlapping faults: kills, pauses, graceful shutdowns, reloads, lost
// disks, partitions, slow links, lost responses, and misbehaving servers, clients and operators. A Judge checks the mesh's rules against
// what clients, servers and operators observe, and the processes' own invariants (internal/invariant) are checked too.
//
// The faults of a run are drawn from its seed (Plan), so that a seed repeats the same faults; the timing of real processes does not repeat
// exactly. No privileges are needed: faults are signals to the processes, and relays of package mesh between them.
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
	"firplank/mesh/configversion"
)

// Config describes a run.
type Config struct {
	Seed      uint64
	Length    time.Duration // time in which faults begin
	Folder    string        // for settings, disks and logs
	Programs  string        // folder of firplank-proxy and firplank-control
	Net       int           // as in mesh.Config
	Core      int
	Tolerance int       // number of core machines that may lose their disks at once
	Branch    int       // number of branch machines of each of the two services
	Clients   int       // number of clients of each branch machine
	Slow      int       // every process runs for only one part in Slow of the time; 0 or 1: all of the time
	Only      []Kind    // kinds of faults to draw; empty: all
	Log       io.Writer // gets a JSON line for each fault, acknowledgement and violation
}

// Report is the result of a run.
type Report struct {
	Seed       uint64        `json:"seed"`
	Length     time.Duration `json:"length"`
	Faults     int           `json:"troubles"`
	Skipped    int           `json:"skipped"` // faults whose target was busy, or that would have exceeded the tolerance
	Counts     Counts        `json:"counts"`
	Stalls     int           `json:"stalls"` // times at which this process itself was not scheduled
	Violations []Violation   `json:"violations"`
}

const (
	changeInterval = 700 * time.Millisecond // between two changes of the configuration
	readInterval   = 150 * time.Millisecond
	scrapeInterval = 2 * time.Second
	readyInterval  = 500 * time.Millisecond
	maxMissedReady = 2 // failed checks in a row after which a machine gets no clients
	startTimeout   = 20 * time.Second
	stallCheck     = 50 * time.Millisecond
	stallLimit     = 250 * time.Millisecond
	settleTime     = 4 * time.Second // traffic without faults at the end of a run
)

// run is the state of a run.
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
	incarnations    map[string]int  // number of restarts by machine
	missedReadiness map[string]int  // failed readiness checks in a row, by machine
	expectedEnds    map[string]bool // machines whose process a fault ends or has ended
	violationCounts map[string]float64
	machines        map[string]*mesh.Machine
	machineByServer map[string]string // machine by the first part of its servers' ids, which all its servers share
}

// Run runs a mesh under faults. An error is a failure of the laboratory itself; the mesh's violations are in the report.
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

// indexMachines fills the indexes of machines by name and by server.
func (r *run) indexMachines() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.mesh.All() {
		r.machines[x.Name] = x
		if !x.IsCore() {
			r.machineByServer[x.CurrentServer().ID()] = x.Name
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

// runTraffic injects the planned faults under traffic, waits for the mesh to recover, and judges the run.
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

// awaitRecovery waits until the mesh acknowledges a configuration and all branch machines are ready, each within the recovery time.
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

// judgeEnd checks the rules at the end of a run: the configuration that is read back, how often requests ran, and the processes.
func (r *run) judgeEnd() {
	newest := r.judge.Newest()
	for _, x := range r.mesh.Core {
		var version configversion.Version
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
			r.judge.Report(r.now(), "CONFIG", "%s reads version %v back, and %v was acknowledged", x.Name, version, newest)
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

// judgeProcesses looks for processes that have ended by themselves, and for violated invariants and panics in the logs, which include those
// of processes that were killed.
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

// indicatesFault reports whether a line of a process's log is about a violated invariant, a panic, a fatal error or a data race.
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

// now returns the time since the start of traffic.
func (r *run) now() time.Duration { return time.Since(r.began) }

// incarnationOf returns the number of times that a machine's process was started again.
func (r *run) incarnationOf(x *mesh.Machine) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnations[x.Name]
}

// expectEnd records whether a machine's process ends because of a fault. expected is false once the process was started again, which begins
// a new incarnation.
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

// serviceOf returns the service of a machine's server.
func (r *run) serviceOf(machine string) string {
	r.mu.Lock()
	x := r.machines[machine]
	r.mu.Unlock()
	return x.Service()
}

// calling records a call that a server is about to make within a request, as for a client's request.
func (r *run) calling(id, machine string, timeout time.Duration) {
	r.judge.Sent(r.now(), id, machine, timeout)
}

// arrived records a request that begins to run at a server.
func (r *run) arrived(a mesh.Arrival) {
	r.mu.Lock()
	machine := r.machineByServer[a.Server[:min(len(a.Server), len("i-00000000"))]]
	r.mu.Unlock()
	r.judge.Arrived(a.At.Sub(r.began), machine, a)
}

// acceptsClients reports whether the platform routes clients to a machine: it has not failed maxMissedReady checks in a row.
func (r *run) acceptsClients(x *mesh.Machine) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.missedReadiness[x.Name] < maxMissedReady
}
