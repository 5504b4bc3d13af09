package report

import (
	"strings"
	"time"
)

// Field is one figure of a family.
type Field struct{ Name, Unit, Description string }

// Family is a set of figures of the same things: one row of them for each thing, named by its labels.
type Family struct {
	Name        string
	Labels      []string
	Description string
	// Counters only grow while the process runs, Gauges are as at the end of an interval.
	Counters, Gauges []Field
	// Derived are gauges that are computed of what the counters grew by, so that they hold for any span. Of the counters the
	// first Hidden are shown nowhere else.
	Derived        []Field
	HiddenCounters int
	MaxRows        int // rows; what is beyond them adds up in one row whose labels are Overflow
	derive         func(deltas []int64, out []float64)
}

// Shown returns the counters that are told, and where they begin among all.
func (f *Family) ShownCounters() []Field { return f.Counters[f.HiddenCounters:] }

// Fields returns all figures that are told, in the order of a reading: counters, gauges, derived.
func (f *Family) Fields() []Field {
	all := append([]Field(nil), f.ShownCounters()...)
	return append(append(all, f.Gauges...), f.Derived...)
}

// The families. Worth is in thousandths, so that it is counted in whole numbers, without error.
var (
	requestFields = []Field{
		{"asked", "requests", "taken from clients"}, {"served", "requests", "answered by a server"},
		{"late", "requests", "of those served, after the aim of their class"}, {"refused", "requests", "turned away: nothing ran"},
		{"failed", "requests", "answered as failed: they may have run"},
		{"retries", "requests", "of those asked, marked by their client as tried before"},
	}
	openField = []Field{{"open", "requests", "taken and not ended"}}

	Requests = &Family{
		Name: "requests", Labels: []string{"class"}, Description: "requests by class", MaxRows: 4096,
		Counters: requestFields, Gauges: openField,
		Derived: []Field{{"service_ratio", "part of 1", "served of those that ended"}},
		derive: func(d []int64, out []float64) {
			if ended := d[1] + d[3] + d[4]; ended > 0 {
				out[0] = float64(d[1]) / float64(ended)
			}
		},
	}
	Tenants = &Family{
		Name: "tenants", Labels: []string{"class", "tenant"}, Description: "requests by class and tenant", MaxRows: 8192,
		Counters: requestFields, Gauges: openField,
	}
	RequestValue = &Family{
		Name: "worth", Labels: []string{"class"}, Description: "worth by class", MaxRows: 4096,
		Counters: []Field{
			{"asked", "thousandths of worth", "of first tries"}, {"served", "thousandths of worth", "of what was served; what was late counts less"},
		},
	}
	Latency = &Family{
		Name: "latency", Labels: []string{"class"},
		Description: "time from a request to its answer, of what was served, at most 6.25 % off", MaxRows: 4096,
		Counters: make([]Field, numBuckets), HiddenCounters: numBuckets,
		Derived: []Field{{"p50", "ms", "half took no longer"}, {"p90", "ms", "9 in 10 took no longer"},
			{"p99", "ms", "99 in 100 took no longer"}, {"p999", "ms", "999 of 1,000 took no longer"}},
		derive: func(d []int64, out []float64) {
			for i, part := range []float64{0.5, 0.9, 0.99, 0.999} {
				if took, ok := quantile(d, part); ok {
					out[i] = float64(took) / float64(time.Millisecond)
				}
			}
		},
	}
	Attempts = &Family{
		Name: "attempts", Description: "attempts at servers", MaxRows: 1,
		Counters: []Field{
			{"ok", "attempts", "answered well"}, {"error", "attempts", "answered with an error"},
			{"turned_away", "attempts", "never begun by the server"},
			{"timed_out", "attempts", "given up"}, {"not_connected", "attempts", "no connection came up"},
			{"reset", "attempts", "the connection broke"},
			{"cancelled", "attempts", "no longer wanted"}, {"moot", "attempts", "not made: the request had ended"},
			{"sent", "attempts", "written whole to a server"}, {"again", "attempts", "beyond a request's first"},
		},
	}
	Servers = &Family{
		Name: "servers", Labels: []string{"server"}, Description: "listed servers", MaxRows: 512,
		Gauges: []Field{{"in_flight", "attempts", "out at the server, of this sidecar"}},
	}
	Contracts = &Family{
		Name: "contracts", Labels: []string{"team", "verdict"}, Description: "what contracts made of a team's requests", MaxRows: 4096,
		Counters: []Field{{"requests", "requests", "with that verdict"}},
	}
	Process = &Family{
		Name: "process", Description: "the sidecar's process", MaxRows: 1,
		Gauges: []Field{
			{"started", "s since 1970", "when it began: totals count from then"}, {"memory", "bytes", "held by the Go runtime"},
			{"servers", "servers", "in the list"}, {"servers_avoided", "servers", "of those, rested or out by hand"},
		},
	}
	Reporting = &Family{
		Name: "reporting", Labels: []string{"receiver"}, Description: "the reporting itself", MaxRows: 8,
		Counters: []Field{
			{"intervals", "intervals", "that have ended"}, {"written", "intervals", "written to the receiver, also again"},
			{"again", "intervals", "of those, written once more after a break"},
			{"merged", "intervals", "put together with the one before for want of room"},
			{"breaks", "connections", "connections that broke or stalled"},
			{"rejected", "lists", "that the receiver said no to, or that could not be written"},
		},
		Gauges: []Field{{"waiting", "intervals", "that wait for the receiver"}, {"spool", "bytes", "that these hold"}},
	}
	// Families lists them all, in the order of a reading.
	Families = []*Family{Requests, Tenants, RequestValue, Latency, Attempts, Servers, Contracts, Process, Reporting}
)

// Row is one thing that is counted.
type Row struct {
	Family *Family
	Labels []string

	firstCounter, firstGauge int // where its figures begin
	lastUsed                 int64
}

// Table gives each row a place for its figures. Rows with counters stay as long as the process, so that a total is never
// another's; rows of gauges alone give their place up when nobody holds an interval any more in which they stood. It is not
// safe for concurrent use.
type Table struct {
	rows        []*Row
	byKey       map[string]*Row
	rowCounts   map[*Family]int
	numCounters int
	numGauges   int
	freeGauges  map[*Family][]int // places of gauges
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byKey: map[string]*Row{}, rowCounts: map[*Family]int{}, freeGauges: map[*Family][]int{}}
}

func key(f *Family, labels []string) string { return f.Name + "\x00" + strings.Join(labels, "\x00") }

// Row returns the row of a thing, which may be new; at is the time, in seconds.
func (t *Table) Row(f *Family, now int64, labels ...string) *Row {
	k := key(f, labels)
	r := t.byKey[k]
	if r == nil {
		if t.rowCounts[f] >= f.MaxRows-1 && f.MaxRows > 1 && !isOverflow(labels) {
			overflowLabels := make([]string, len(labels))
			for i := range overflowLabels {
				overflowLabels[i] = Overflow
			}
			return t.Row(f, now, overflowLabels...)
		}
		r = &Row{Family: f, Labels: append([]string(nil), labels...), firstCounter: t.numCounters, firstGauge: t.numGauges}
		if free := t.freeGauges[f]; len(free) > 0 {
			r.firstGauge = free[len(free)-1]
			t.freeGauges[f] = free[:len(free)-1]
		} else {
			t.numGauges += len(f.Gauges)
		}
		t.numCounters += len(f.Counters)
		t.rows = append(t.rows, r)
		t.byKey[k] = r
		t.rowCounts[f]++
	}
	r.lastUsed = now
	return r
}

func isOverflow(labels []string) bool {
	for _, l := range labels {
		if l != Overflow {
			return false
		}
	}
	return true
}

// Forget drops rows of gauges alone that were last used before a time, in seconds.
func (t *Table) Prune(before int64) {
	kept := t.rows[:0]
	for _, r := range t.rows {
		if len(r.Family.Counters) > 0 || len(r.Labels) == 0 || r.lastUsed >= before {
			kept = append(kept, r)
			continue
		}
		t.freeGauges[r.Family] = append(t.freeGauges[r.Family], r.firstGauge)
		t.rowCounts[r.Family]--
		delete(t.byKey, key(r.Family, r.Labels))
	}
	clear(t.rows[len(kept):])
	t.rows = kept
}

// Rows returns the rows that there are.
func (t *Table) Rows() []*Row { return t.rows }

// Sizes returns how many counters and gauges the table has places for.
func (t *Table) Sizes() (counters, gauges int) { return t.numCounters, t.numGauges }
