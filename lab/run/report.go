package run

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"firplank/internal/output"
	"firplank/lab/judge"
	"firplank/lab/scenario"
	"firplank/lab/standin"
)

// Row counts the outcomes of the requests of one class and tenant, each with its retries.
type Row struct {
	Class   string  `json:"class"`
	Tenant  string  `json:"tenant"`
	Asked   int     `json:"asked"`
	InAim   int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Lost    int     `json:"lost"`
	Tries   int     `json:"tries"`
	P50     float64 `json:"p50_ms"` // of the served ones, from the planned time of the first try
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p99_9_ms"`
	Worth   float64 `json:"worth"` // part of the requested worth that was served

	latencies               []time.Duration
	worthAsked, worthServed float64
}

// Team compares what a tenant with a contract was served with its entitlement, which is the part of its requests that its budget
// had room for.
type Team struct {
	Name     string  `json:"name"`
	Asked    float64 `json:"asked_worth"`
	Entitled float64 `json:"entitled_worth"`
	Served   float64 `json:"served_worth"`
	Share    float64 `json:"share"` // Served divided by Entitled
}

// Point is one bucket of the plots.
type Point struct {
	At     float64 `json:"at_s"`
	Asked  int     `json:"asked"`
	Served float64 `json:"served"` // part of the requests of that time that were served
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
}

// Report is the result of a run.
type Report struct {
	Scenario       string           `json:"scenario"`
	Program        string           `json:"program"`
	Seed           uint64           `json:"seed"`
	LengthS        float64          `json:"length_s"`
	Rows           []Row            `json:"rows"`
	Total          Row              `json:"total"`
	Teams          []Team           `json:"teams,omitempty"`
	Fairness       float64          `json:"fairness,omitempty"` // Jain's index of the teams' shares; 1: all are equal
	RefusalP99     float64          `json:"refusal_p99_ms"`     // time to the response of a refused try
	Attempts       int              `json:"attempts"`           // attempts that reached servers
	Verdict        *judge.Verdict   `json:"verdict"`
	Crashes        []string         `json:"crashes"`
	Use            ResourceUsage    `json:"use"`
	RosterCalls    int              `json:"roster_calls"`
	FleetChecks    int              `json:"looks,omitempty"`     // checks of the sidecars' fleet-wide sums
	SumsEqualAfter time.Duration    `json:"agreed_ns,omitempty"` // time from the end of the run until all sidecars reported equal sums
	Datagrams      int              `json:"datagrams,omitempty"` // sent between sidecars
	DatagramsLost  int              `json:"datagrams_lost,omitempty"`
	Late           time.Duration    `json:"late_ns"` // the largest delay of a client's request behind its planned time
	Points         []Point          `json:"points"`
	Servers        map[string][]int `json:"servers"` // attempts over time
	Faults         []scenario.Fault `json:"faults"`
	Reported       []ReportedClass  `json:"told,omitempty"` // by class; empty without a Graphite receiver

	serverOrder []string
}

// Good reports whether no rule was broken and nothing crashed.
func (r *Report) Good() bool { return r.Verdict.Passed() && len(r.Crashes) == 0 }

func newReport(s *scenario.Scenario, tallies []standin.ArrivalOutcome, v *judge.Verdict, rec *recorder) *Report {
	r := &Report{
		Scenario: s.Name, Seed: s.Seed, LengthS: s.LengthS, Verdict: v, Faults: s.Faults,
		Servers: rec.servers, Attempts: rec.attempts, serverOrder: rec.serverOrder,
	}
	rows := map[[2]int]*Row{}
	total := &Row{Class: "all", Tenant: "all"}
	var refusals []time.Duration
	points := make([]bucketCount, buckets)
	for i := range tallies {
		t := &tallies[i]
		c := &s.Classes[t.Class]
		row := rows[[2]int{t.Class, t.Tenant}]
		if row == nil {
			row = &Row{Class: c.Name, Tenant: s.Tenants[t.Tenant].Name}
			rows[[2]int{t.Class, t.Tenant}] = row
		}
		row.add(t, c)
		total.add(t, c)
		if t.RefusedIn > 0 {
			refusals = append(refusals, t.RefusedIn)
		}
		p := &points[min(buckets-1, max(0, int(t.At/rec.bucket)))]
		p.asked++
		if t.End == scenario.Served {
			p.served++
			p.took = append(p.took, t.Took)
		}
	}
	for c := range s.Classes {
		for t := range s.Tenants {
			if row := rows[[2]int{c, t}]; row != nil {
				row.finish()
				r.Rows = append(r.Rows, *row)
			}
		}
	}
	total.finish()
	r.addTeams(s, tallies)
	r.Total, r.RefusalP99 = *total, Quantile(refusals, 0.99)
	r.addPoints(points, rec.bucket)
	return r
}

// bucketCount counts the requests of one bucket of the run and their outcomes.
type bucketCount struct {
	asked, served int
	took          []time.Duration
}

// addPoints adds a plot point for each bucket that has requests.
func (r *Report) addPoints(points []bucketCount, bucket time.Duration) {
	for i, p := range points {
		if p.asked > 0 {
			r.Points = append(r.Points, Point{
				At: (float64(i) + 0.5) * bucket.Seconds(), Asked: p.asked, Served: float64(p.served) / float64(p.asked),
				P50: Quantile(p.took, 0.5), P99: Quantile(p.took, 0.99),
			})
		}
	}
}

// addTeams computes each team's served share of its entitlement, and Jain's index over the teams. Tallies are sorted by time.
func (r *Report) addTeams(s *scenario.Scenario, tallies []standin.ArrivalOutcome) {
	sum, squares := 0.0, 0.0
	for tenant := range s.Tenants {
		if s.Tenants[tenant].Contract == nil {
			continue
		}
		e := s.Entitlement(tenant)
		for i := range tallies {
			if t := &tallies[i]; t.Tenant == tenant {
				e.AddRequest(t.At, s.Classes[t.Class].Worth)
			}
		}
		team := Team{Name: s.Tenants[tenant].Name, Asked: e.Requested, Entitled: e.Granted}
		for _, row := range r.Rows {
			if row.Tenant == team.Name {
				team.Served += row.worthServed
			}
		}
		if team.Entitled > 0 {
			team.Share = team.Served / team.Entitled
		}
		sum, squares = sum+team.Share, squares+team.Share*team.Share
		r.Teams = append(r.Teams, team)
	}
	if squares > 0 {
		r.Fairness = sum * sum / (float64(len(r.Teams)) * squares)
	}
}

func (r *Row) add(t *standin.ArrivalOutcome, c *scenario.Class) {
	r.Asked++
	r.Tries += t.Tries
	r.worthAsked += c.Worth
	switch t.End {
	case scenario.Served:
		r.latencies = append(r.latencies, t.Took)
		if t.Took <= scenario.MS(c.AimMS) {
			r.InAim++
			r.worthServed += c.Worth
		} else {
			r.Late++
			r.worthServed += c.Worth * c.LateWorth
		}
	case scenario.Refused:
		r.Refused++
	case scenario.Failed:
		r.Failed++
	default:
		r.Lost++
	}
}

func (r *Row) finish() {
	r.P50, r.P99, r.P999 = Quantile(r.latencies, 0.5), Quantile(r.latencies, 0.99), Quantile(r.latencies, 0.999)
	if r.worthAsked > 0 {
		r.Worth = r.worthServed / r.worthAsked
	}
}

// Quantile sorts all and returns its q-quantile in milliseconds, by rank; 0 for an empty slice.
func Quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	at := min(len(all)-1, max(0, int(math.Ceil(q*float64(len(all))))-1))
	return float64(all[at]) / float64(time.Millisecond)
}

// Table writes the report as text.
func (r *Report) Table(w io.Writer) error {
	printer := output.New(w)
	printer.Printf("%s, seed %d, %v s, through %s\n\n", r.Scenario, r.Seed, r.LengthS, r.Program)
	t := output.NewTable(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	t.Println("class\ttenant\tasked\tin aim\tlate\trefused\tfailed\tunanswered\ttries\tp50 ms\tp99 ms\tp99.9 ms\tworth\t")
	for _, row := range append(slices.Clone(r.Rows), r.Total) {
		t.Printf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.3f\t\n", row.Class, row.Tenant, row.Asked, row.InAim,
			row.Late, row.Refused, row.Failed, row.Lost, row.Tries, row.P50, row.P99, row.P999, row.Worth)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, team := range r.Teams {
		printer.Printf("team %s: asked for %.0f worth, entitled to %.0f, served %.0f: %.3f of that\n", team.Name, team.Asked, team.Entitled,
			team.Served, team.Share)
	}
	if len(r.Teams) > 0 {
		printer.Printf("fairness between teams (Jain's index): %.3f\n", r.Fairness)
	}
	v := r.Verdict
	printer.Printf("\n%d tries, %d attempts at servers, refused tries answered within %.1f ms (p99), %d excused as their sidecar was down\n",
		v.Tries, r.Attempts, r.RefusalP99, v.Excused)
	printer.Printf("sidecars: %.2f s of CPU time, %.1f MB at most; roster: %d calls; clients at most %v behind their plan\n",
		r.Use.CPU.Seconds(), float64(r.Use.MemoryKB)/1024, r.RosterCalls, r.Late.Round(time.Millisecond/10))
	if r.FleetChecks > 0 {
		printer.Printf("fleet: %d checks of the sidecars' sums, all equal %v after the run; %d datagrams, %d lost in transit\n",
			r.FleetChecks, r.SumsEqualAfter.Round(time.Millisecond), r.Datagrams, r.DatagramsLost)
	}
	for _, rule := range judge.Rules {
		state := "kept"
		if n := v.Counts[rule]; n > 0 {
			state = fmt.Sprintf("BROKEN %d times", n)
		}
		printer.Printf("rule %-12s %s\n", rule+":", state)
	}
	for i, f := range v.Findings {
		if i == 12 {
			printer.Printf("  ... and more\n")
			break
		}
		printer.Printf("  %8.3f s  %s: %s\n", f.At.Seconds(), f.Rule, f.Text)
	}
	for _, c := range r.Crashes {
		printer.Printf("CRASH: %s\n", c)
	}
	return printer.Err()
}
