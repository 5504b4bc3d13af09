package scale

import (
	"context"
	"fmt"
	"time"

	"firplank/lab/mesh"
)

// measurement holds the samples of all processes at one time.
type measurement struct {
	at                    time.Time
	control, real, hollow []Sample
	tallies               []Tally
}

// phase runs do and records a Phase of what was used and sent meanwhile. With an empty name it runs do only.
func (r *runner) phase(ctx context.Context, name string, do func(context.Context) error) error {
	if name == "" {
		return do(ctx)
	}
	before, err := r.sample()
	if err != nil {
		return err
	}
	if err := do(ctx); err != nil {
		return err
	}
	after, err := r.sample()
	if err != nil {
		return err
	}
	p := Phase{Name: name, Seconds: after.at.Sub(before.at).Seconds(), Tallies: Since(after.tallies, before.tallies), State: r.state}
	p.Control = usagesBetween(before.control, after.control, names(r.mesh.Core))
	p.Real = usagesBetween(before.real, after.real, names(r.mesh.Branch))
	p.Hollow = usagesBetween(before.hollow, after.hollow, nil)
	r.run.Phases = append(r.run.Phases, p)
	return nil
}

func names(machines []*mesh.Machine) (all []string) {
	for _, x := range machines {
		all = append(all, x.Name)
	}
	return all
}

func usagesBetween(before, after []Sample, names []string) (all []Usage) {
	for i := range before {
		name := fmt.Sprintf("group-%d", i+1)
		if names != nil {
			name = names[i]
		}
		all = append(all, UsageBetween(name, before[i], after[i]))
	}
	return all
}

// sample reads the counters of all processes. It returns an error if they hold more memory than the plan allows.
func (r *runner) sample() (measurement, error) {
	if err := r.readAll(Command{Do: Observe}); err != nil {
		return measurement{}, err
	}
	out := measurement{at: time.Now(), tallies: r.tallies}
	var rss int64
	take := func(pid int, into *[]Sample) error {
		s, err := ReadSample(pid)
		rss += s.RSS
		*into = append(*into, s)
		return err
	}
	for _, x := range r.mesh.Core {
		if err := take(x.PID(), &out.control); err != nil {
			return out, err
		}
	}
	for _, x := range r.mesh.Branch {
		if err := take(x.PID(), &out.real); err != nil {
			return out, err
		}
	}
	for _, c := range r.children {
		if err := take(c.process.Process.Pid, &out.hollow); err != nil {
			return out, err
		}
	}
	r.run.MaxRSS = max(r.run.MaxRSS, rss)
	if rss > r.plan.MaxRSS {
		return out, fmt.Errorf("processes use %d bytes of memory in total, limit %d", rss, r.plan.MaxRSS)
	}
	return out, nil
}
