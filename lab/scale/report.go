package scale

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Report holds the measurements of a series of runs.
type Report struct {
	Plan   Plan     `json:"plan"`
	Runs   []*Run   `json:"runs"`
	Failed []string `json:"failed,omitempty"` // runs that ended in an error
	Slopes []Slope  `json:"slopes"`
}

// Slope is the growth of one figure with the number of sidecars, and its extrapolation to the target.
type Slope struct {
	Figure        string        `json:"figure"`
	Unit          string        `json:"unit"`
	Points        []Point       `json:"points"` // one for each run
	Fits          bool          `json:"fits"`   // whether there were enough sizes for Extrapolation
	Extrapolation Extrapolation `json:"reach"`
}

// figure is a value that is calculated for each run. It is none for a run that lacks it.
type figure struct {
	name, unit string
	value      func(*Run) float64
}

// none is the value of a figure that a run lacks.
const none = -1

// Slopes fits all figures of the runs and extrapolates them to target sidecars.
func Slopes(runs []*Run, target int) []Slope {
	var all []Slope
	for _, f := range figures() {
		s := Slope{Figure: f.name, Unit: f.unit}
		for _, r := range runs {
			if v := f.value(r); v > 0 {
				s.Points = append(s.Points, Point{float64(r.Size), v})
			}
		}
		if s.Extrapolation, s.Fits = Extrapolate(s.Points, float64(target)); len(s.Points) > 0 {
			all = append(all, s)
		}
	}
	return all
}

func figures() []figure {
	var all []figure
	for _, phase := range []string{QuietPhase, ChangesPhase, RestartPhase} {
		all = append(all, usageFigures(phase)...)
		all = append(all, linkFigures(phase)...)
	}
	return append(all,
		figure{"all: ready after the start, 99 of 100", "s", func(r *Run) float64 { return r.Ready.P99 }},
		figure{"all: ready after the restart, 99 of 100", "s", func(r *Run) float64 { return r.Restarted.P99 }},
		figure{"all: change in force, 50 of 100", "s", func(r *Run) float64 {
			return meanOf(r.Changes, func(c Change) float64 { return c.InForce.P50 })
		}},
		figure{"all: change in force, 99 of 100", "s", func(r *Run) float64 {
			return meanOf(r.Changes, func(c Change) float64 { return c.InForce.P99 })
		}},
		figure{"all: change in force, last", "s", func(r *Run) float64 {
			return meanOf(r.Changes, func(c Change) float64 { return c.InForce.Max })
		}},
		figure{"all: change acknowledged", "s", func(r *Run) float64 { return meanOf(r.Changes, func(c Change) float64 { return c.Acked }) }},
	)
}

func meanOf(all []Change, of func(Change) float64) float64 {
	if len(all) == 0 {
		return none
	}
	sum := 0.
	for _, c := range all {
		sum += of(c)
	}
	return sum / float64(len(all))
}

// usageFigures returns the figures counted by the kernel, of the real processes.
func usageFigures(phase string) []figure {
	control := func(p *Phase) []Usage { return p.Control }
	real := func(p *Phase) []Usage { return p.Real }
	cores := func(u Usage) float64 { return 100 * u.Cores }
	memory := func(u Usage) float64 { return float64(u.RSS) / 1e6 }
	read := func(u Usage) float64 { return u.ReadS / 1e3 }
	written := func(u Usage) float64 { return u.WrittenS / 1e3 }
	return []figure{
		{phase + ": control, busiest: processor", "% of a core", maxUsage(phase, control, cores)},
		{phase + ": control, busiest: memory", "MB", maxUsage(phase, control, memory)},
		{phase + ": control, busiest: read", "kB/s", maxUsage(phase, control, read)},
		{phase + ": control, busiest: written", "kB/s", maxUsage(phase, control, written)},
		{phase + ": sidecar, busiest true one: processor", "% of a core", maxUsage(phase, real, cores)},
		{phase + ": sidecar, largest true one: memory", "MB", maxUsage(phase, real, memory)},
	}
}

func maxUsage(phase string, processes func(*Phase) []Usage, value func(Usage) float64) func(*Run) float64 {
	return func(r *Run) float64 {
		p := r.Phase(phase)
		if p == nil {
			return none
		}
		most := float64(none)
		for _, u := range processes(p) {
			most = max(most, value(u))
		}
		return most
	}
}

// linkFigures returns the figures counted by link, per machine of a role.
func linkFigures(phase string) []figure {
	links := []struct {
		link Link
		name string
		each func(*Run, *Phase) float64 // number of machines that share the link's sum
	}{
		{ControlToChild, "down to a relay", func(_ *Run, p *Phase) float64 { return float64(p.State.ControlChildren) }},
		{ChildToControl, "up from a relay", func(_ *Run, p *Phase) float64 { return float64(p.State.ControlChildren) }},
		{RelayToChild, "down to a leaf", func(_ *Run, p *Phase) float64 { return float64(p.State.RelayChildren) }},
		{ChildToRelay, "up from a leaf", func(_ *Run, p *Phase) float64 { return float64(p.State.RelayChildren) }},
		{ControlToControl, "control to control, each link", func(_ *Run, p *Phase) float64 { return float64(len(p.Control)) }},
	}
	var all []figure
	for _, l := range links {
		all = append(all,
			figure{phase + ": " + l.name + ": bytes", "kB/s", perMachine(phase, l.link, l.each, func(t Tally) float64 {
				return float64(t.Sizes.Total()) / 1e3
			})},
			figure{phase + ": " + l.name + ": frames", "1/s", perMachine(phase, l.link, l.each, func(t Tally) float64 { return float64(t.Frames) })},
		)
	}
	return all
}

func perMachine(phase string, link Link, each func(*Run, *Phase) float64, what func(Tally) float64) func(*Run) float64 {
	return func(r *Run) float64 {
		p := r.Phase(phase)
		if p == nil || each(r, p) == 0 {
			return none
		}
		sum := 0.
		for _, t := range p.Tallies {
			if t.Link == link {
				sum += what(t)
			}
		}
		return sum / each(r, p) / p.Seconds
	}
}

// Write writes the report as tables.
func (r *Report) Write(out io.Writer) {
	w := newTable(out, tabwriter.AlignRight)
	w.printf("sidecars\trun\tof control\tof relays\t" +
		"relays\tparents left\tready p50\tp99\tlast\t" +
		"in force p50\tp99\tlast\tacked\trestarted p99\tlast, s\tmemory of all, MB\t\n")
	for _, run := range r.Runs {
		s := run.Phases[len(run.Phases)-1].State
		w.printf("%d\t%d\t%d\t%d\t%d\t%d\t", run.Size, run.Repeat, s.ControlChildren, s.RelayChildren, s.Relays, s.StaleParents)
		w.printf("%.2f\t%.2f\t%.2f\t", run.Ready.P50, run.Ready.P99, run.Ready.Max)
		of := func(get func(Change) float64) float64 { return meanOf(run.Changes, get) }
		w.printf("%.3f\t%.3f\t%.3f\t%.3f\t",
			of(func(c Change) float64 { return c.InForce.P50 }),
			of(func(c Change) float64 { return c.InForce.P99 }),
			of(func(c Change) float64 { return c.InForce.Max }),
			of(func(c Change) float64 { return c.Acked }))
		w.printf("%.2f\t%.2f\t%.0f\t\n", run.Restarted.P99, run.Restarted.Max, float64(run.MaxRSS)/1e6)
	}
	w.flush()
	r.writeSlopes(out)
	for _, run := range r.Runs {
		writeTallies(out, run)
	}
	for _, failed := range r.Failed {
		_, _ = fmt.Fprintln(out, "FAILED:", failed)
	}
}

func (r *Report) writeSlopes(out io.Writer) {
	_, _ = fmt.Fprintf(out, "\nmean at each size; power (range with one run left out); range at %d of both fits, power and line\n",
		r.Plan.Target)
	w := newTable(out, 0)
	for _, s := range r.Slopes {
		w.printf("%s, %s", s.Figure, s.Unit)
		for _, size := range r.sizes() {
			w.printf("\t%s", s.formatMeanAt(size))
		}
		if s.Fits {
			reach := s.Extrapolation
			w.printf("\t%.2f (%.2f to %.2f)", reach.Growth.Power, reach.PowerLow, reach.PowerHigh)
			w.printf("\t%.3g to %.3g", reach.Low, reach.High)
		}
		w.printf("\n")
	}
	w.flush()
}

// sizes returns the sizes of the runs in ascending order, without duplicates.
func (r *Report) sizes() (all []int) {
	for _, run := range r.Runs {
		all = append(all, run.Size)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// formatMeanAt formats the mean at a size and the largest deviation of a single run from it.
func (s *Slope) formatMeanAt(size int) string {
	var all []float64
	sum := 0.
	for _, p := range s.Points {
		if int(p.Size) == size {
			all = append(all, p.Figure)
			sum += p.Figure
		}
	}
	if len(all) == 0 {
		return "-"
	}
	mean := sum / float64(len(all))
	return fmt.Sprintf("%.3g ±%.0f%%", mean, 100*max(slices.Max(all)-mean, mean-slices.Min(all))/mean)
}

func writeTallies(out io.Writer, run *Run) {
	_, _ = fmt.Fprintf(out, "\n%d sidecars, run %d: bytes a second by link and kind of frame, all together\n", run.Size, run.Repeat)
	w := newTable(out, tabwriter.AlignRight)
	w.printf("phase\tlink\tkind\tframes/s\theader\twhole entries\talive entries\tmachines\tconfiguration\tsum\t\n")
	for _, p := range run.Phases {
		slices.SortFunc(p.Tallies, func(a, b Tally) int { return int(b.Sizes.Total() - a.Sizes.Total()) })
		for _, t := range p.Tallies {
			z, s := t.Sizes, p.Seconds
			w.printf("%s\t%s\t%s\t%.1f\t", p.Name, t.Link, t.Kind, float64(t.Frames)/s)
			w.printf("%.0f\t%.0f\t%.0f\t%.0f\t", float64(z.Header)/s, float64(z.Entries)/s, float64(z.Alive)/s, float64(z.Machines)/s)
			w.printf("%.0f\t%.0f\t\n", float64(z.Configuration)/s, float64(z.Total())/s)
		}
	}
	w.flush()
}
