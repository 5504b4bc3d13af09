package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"firplank/lab/mesh"
	"firplank/mesh/config"
)

// Time-outs and poll interval of a run.
const (
	startTimeout  = 40 * time.Second // in addition to the time in which the sidecars are started
	changeTimeout = 30 * time.Second
	pollInterval  = 250 * time.Millisecond
)

// Phase holds the measurements of a phase of a run.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	Control []Usage `json:"control"`
	Real    []Usage `json:"real"`
	Hollow  []Usage `json:"hollow"` // processes of hollow sidecars
	Tallies []Tally `json:"tallies"`
	State   State   `json:"state"` // at the end of the phase
}

// State holds the number of hollow sidecars of each kind, and how often they left a stale parent.
type State struct {
	Sidecars        int `json:"sidecars"`
	Ready           int `json:"ready"`
	Relays          int `json:"relays"`
	ControlChildren int `json:"ofControl"`
	RelayChildren   int `json:"ofRelay"`
	StaleParents    int `json:"left"`
}

// Times holds percentiles of the seconds until a condition is met at the hollow sidecars, and the number of these.
type Times struct {
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"most"`
	Count int     `json:"of"`
}

func timesOf(all []float64) Times {
	return Times{P50: Percentile(all, 0.5), P99: Percentile(all, 0.99), Max: Percentile(all, 1), Count: len(all)}
}

// Change is one change of the configuration. Times are in seconds from the operator's call.
type Change struct {
	Edition uint32  `json:"edition"`
	Acked   float64 `json:"acked"`
	InForce Times   `json:"inForce"`
}

// Run holds the measurements of one run.
type Run struct {
	Size        int      `json:"size"`
	Repeat      int      `json:"repeat"`
	ConfigBytes int      `json:"configBytes"`
	PackedBytes int      `json:"packedBytes"`
	Ready       Times    `json:"ready"`     // from a sidecar's first start until it is ready
	Restarted   Times    `json:"restarted"` // the same after the restart
	Phases      []Phase  `json:"phases"`
	Changes     []Change `json:"changes"`
	MaxRSS      int64    `json:"mostRSSBytes"` // maximum of all processes together
}

// Phase returns the phase of a name, or nil if there is none.
func (r *Run) Phase(name string) *Phase {
	for i := range r.Phases {
		if r.Phases[i].Name == name {
			return &r.Phases[i]
		}
	}
	return nil
}

// Names of the phases.
const (
	StartPhase   = "start"
	QuietPhase   = "quiet"
	ChangesPhase = "changes"
	RestartPhase = "restart"
)

// runner holds the state of a run in progress.
type runner struct {
	plan     *Plan
	run      *Run
	mesh     *mesh.Mesh
	listener *Listener
	children []*child
	edition  uint32
	inForce  map[uint32][]int64 // adoption times by edition, in nanoseconds of Unix time
	readyS   []float64
	tallies  []Tally // of the last readAll
	state    State
}

// RunOnce performs one run with size sidecars and stops every process that it started.
func RunOnce(ctx context.Context, plan *Plan, size, repeat int) (*Run, error) {
	r := &runner{plan: plan, run: &Run{Size: size, Repeat: repeat}, inForce: map[uint32][]int64{}}
	defer r.end()
	if err := r.startReal(ctx); err != nil {
		return nil, err
	}
	steps := []struct {
		name string
		do   func(context.Context) error
	}{
		{StartPhase, r.startHollow},
		{"", func(ctx context.Context) error { return pause(ctx, plan.Settle) }},
		{QuietPhase, func(ctx context.Context) error { return pause(ctx, plan.Quiet) }},
		{ChangesPhase, r.makeChanges},
		{RestartPhase, r.restart},
	}
	for _, s := range steps {
		if err := r.phase(ctx, s.name, s.do); err != nil {
			return nil, fmt.Errorf("%d sidecars: %s: %w", size, s.name, err)
		}
	}
	return r.run, nil
}

func (r *runner) end() {
	for _, c := range r.children {
		c.stop()
	}
	if r.listener != nil {
		r.listener.Close()
	}
	if r.mesh != nil {
		r.mesh.Stop()
	}
	_ = os.RemoveAll(r.plan.Folder) // a temporary folder, which may be left behind
}

// startReal starts the real control machines and sidecars and the listener, and puts the first configuration.
func (r *runner) startReal(ctx context.Context) error {
	p := r.plan
	var zones []string
	for i := range p.Zones {
		zones = append(zones, p.zone(i))
	}
	services := map[string]int{p.service(0): (p.Real + 1) / 2}
	if p.Real > 1 {
		services[p.service(1)] += p.Real / 2
	}
	if err := os.MkdirAll(p.Folder, 0o755); err != nil {
		return err
	}
	m, err := mesh.Start(mesh.Config{
		Folder:   p.Folder,
		Programs: p.Programs,
		Net:      p.Net,
		Core:     p.Control,
		Services: services,
		Zones:    zones,
		Work:     time.Millisecond,
	})
	if err != nil {
		return err
	}
	r.mesh = m
	var others []string
	for i := range p.Control {
		others = append(others, p.control(i))
	}
	if r.listener, err = Listen(fmt.Sprintf("127.%d.0.%d:%d", p.Net, listenerHost, peerPort), others); err != nil {
		return err
	}
	r.edition = firstEdition
	if _, err := r.put(ctx); err != nil {
		return err
	}
	for _, x := range m.Branch {
		if err := mesh.Await(startTimeout, x.Name+" is ready", x.Ready); err != nil {
			return err
		}
	}
	return nil
}

// put sends the present edition to each control machine in turn until one accepts it, and returns when it began.
func (r *runner) put(ctx context.Context) (began time.Time, err error) {
	body, err := json.Marshal(r.plan.document(r.edition))
	if err != nil {
		return began, err
	}
	r.run.ConfigBytes, r.run.PackedBytes = len(body), len(config.Pack(body))
	began = time.Now()
	for end := began.Add(changeTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		for _, x := range r.mesh.Core {
			if status, err := x.Put(body); err == nil && status == http.StatusOK {
				return began, nil
			}
		}
		if err := pause(ctx, pollInterval); err != nil {
			return began, err
		}
	}
	return began, fmt.Errorf("no control machine accepted edition %d", r.edition)
}

// startHollow starts the hollow sidecars and waits until all are ready.
func (r *runner) startHollow(ctx context.Context) error {
	all := r.plan.hollows(r.run.Size)
	groups := (len(all) + groupSize - 1) / groupSize
	for i := range groups {
		spec := GroupSpec{StartsPerS: r.plan.StartsPerS / float64(groups)}
		for j := i; j < len(all); j += groups {
			spec.Sidecars = append(spec.Sidecars, all[j])
		}
		c, err := startChild(ctx, r.plan.Lab, spec)
		if err != nil {
			return err
		}
		r.children = append(r.children, c)
	}
	starts := time.Duration(float64(len(all)) / r.plan.StartsPerS * float64(time.Second))
	if err := r.await(ctx, starts+startTimeout, func() bool { return r.state.Ready == len(all) }); err != nil {
		return err
	}
	r.run.Ready, r.readyS = timesOf(r.readyS), nil
	return nil
}

// makeChanges puts the plan's changes and waits until the last is in force at all hollow sidecars.
func (r *runner) makeChanges(ctx context.Context) error {
	begins := map[uint32]time.Time{}
	for range r.plan.Changes {
		r.edition++
		began, err := r.put(ctx)
		if err != nil {
			return err
		}
		begins[r.edition] = began
		r.run.Changes = append(r.run.Changes, Change{Edition: r.edition, Acked: time.Since(began).Seconds()})
		if err := pause(ctx, r.plan.ChangeInterval-time.Since(began)); err != nil {
			return err
		}
	}
	err := r.await(ctx, changeTimeout, func() bool { return len(r.inForce[r.edition]) >= r.state.Sidecars })
	for i := range r.run.Changes {
		c := &r.run.Changes[i]
		var all []float64
		for _, at := range r.inForce[c.Edition] {
			all = append(all, time.Unix(0, at).Sub(begins[c.Edition]).Seconds())
		}
		c.InForce = timesOf(all)
	}
	return err
}

// restart restarts a share of the hollow sidecars at once and waits until they are ready and the restart period has passed.
func (r *runner) restart(ctx context.Context) error {
	began := time.Now()
	if err := r.readAll(Command{Do: Restart, Share: r.plan.RestartShare}); err != nil {
		return err
	}
	if err := r.await(ctx, startTimeout, func() bool { return r.state.Ready == r.state.Sidecars }); err != nil {
		return err
	}
	r.run.Restarted = timesOf(r.readyS)
	return pause(ctx, r.plan.RestartPeriod-time.Since(began))
}

// await polls the groups until done reports true, or the timeout has passed.
func (r *runner) await(ctx context.Context, timeout time.Duration, done func() bool) error {
	for end := time.Now().Add(timeout); ; {
		if err := r.readAll(Command{Do: Observe}); err != nil {
			return err
		}
		if done() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("condition not met within %v: %d of %d sidecars are ready", timeout, r.state.Ready, r.state.Sidecars)
		}
		if err := pause(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// readAll sends a command to all groups and collects their replies.
func (r *runner) readAll(command Command) error {
	for _, c := range r.children {
		if err := c.send(command); err != nil {
			return err
		}
	}
	r.state, r.tallies = State{}, r.listener.Tallies()
	for _, c := range r.children {
		got, err := c.reply()
		if err != nil {
			return err
		}
		r.tallies = Sum(r.tallies, got.Tallies)
		r.readyS = append(r.readyS, got.ReadyS...)
		for _, a := range got.Adoptions {
			r.inForce[a.Edition] = append(r.inForce[a.Edition], a.At)
		}
		s := &r.state
		s.Sidecars += got.Sidecars
		s.Ready += got.Ready
		s.Relays += got.Relays
		s.ControlChildren += got.ControlChildren
		s.RelayChildren += got.RelayChildren
		s.StaleParents += got.StaleParents
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
