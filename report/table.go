package report

import (
	"strings"
	"time"
)

// Field describes one value of a family.
type Field struct{ Name, Unit, Description string }

// Family describes the metrics of one kind of thing. Each thing has a row, identified by its labels.
type Family struct {
	Name        string
	Labels      []string
	Description string
	// Counters only grow while the process runs. Gauges have their value at the end of an interval.
	Counters, Gauges []Field
	// Derived are gauges that are computed from the growth of the counters, so that they are right for merged intervals too. The
	// first HiddenCounters counters only serve to compute them and aren't sent.
	Derived        []Field
	HiddenCounters int
	MaxRows        int // further things share one row with the labels Overflow
	derive         func(deltas []int64, out []float64)
}

// ShownCounters returns the counters that are sent to receivers.
func (f *Family) ShownCounters() []Field { return f.Counters[f.HiddenCounters:] }

// Fields returns all fields that are sent, in the order of a reading: counters, gauges, derived gauges.
func (f *Family) Fields() []Field {
	all := append([]Field(nil), f.ShownCounters()...)
	return append(append(all, f.Gauges...), f.Derived...)
}

// The families. Values of requests are counted in thousandths, so that whole numbers add up without rounding errors.
var (
	requestFields = []Field{
		{"asked", "requests", "received from clients"}, {"served", "requests", "answered by a server"},
		{"late", "requests", "of those served, after the latency target of their class"}, {"refused", "requests", "rejected before they ran"},
		{"failed", "requests", "failed, but may have run"},
		{"retries", "requests", "of those asked, marked by their client as a retry"},
	}
	openField = []Field{{"open", "requests", "received and not ended"}}

	Requests = &Family{
		Name: "requests", Labels: []string{"class"}, Description: "requests by class", MaxRows: 4096,
		Counters: requestFields, Gauges: openField,
		Derived: []Field{{"service_ratio", "part of 1", "served requests over ended requests"}},
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
		Name: "worth", Labels: []string{"class"}, Description: "value of requests by class", MaxRows: 4096,
		Counters: []Field{
			{"asked", "thousandths of worth", "of requests that aren't retries"},
			{"served", "thousandths of worth", "of served requests; less for late ones"},
		},
	}
	Latency = &Family{
		Name: "latency", Labels: []string{"class"},
		Description: "time from a request to its answer, for served requests, with an error of at most 6.25 %", MaxRows: 4096,
		Counters: make([]Field, numBuckets), HiddenCounters: numBuckets,
		Derived: []Field{{"p50", "ms", "50th percentile"}, {"p90", "ms", "90th percentile"},
			{"p99", "ms", "99th percentile"}, {"p999", "ms", "99.9th percentile"}},
		derive: func(d []int64, out []float64) {
			for i, fraction := range []float64{0.5, 0.9, 0.99, 0.999} {
				if took, ok := quantile(d, fraction); ok {
					out[i] = float64(took) / float64(time.Millisecond)
				}
			}
		},
	}
	Attempts = &Family{
		Name: "attempts", Description: "attempts at servers", MaxRows: 1,
		Counters: []Field{
			{"ok", "attempts", "answered successfully"}, {"error", "attempts", "answered with an error"},
			{"turned_away", "attempts", "rejected by the server before they ran"},
			{"timed_out", "attempts", "not answered in time"}, {"not_connected", "attempts", "connecting to the server failed"},
			{"reset", "attempts", "the connection broke"},
			{"cancelled", "attempts", "cancelled by the sidecar"}, {"moot", "attempts", "not sent, as the request had ended"},
			{"sent", "attempts", "written completely to a server"}, {"again", "attempts", "after a request's first"},
		},
	}
	Servers = &Family{
		Name: "servers", Labels: []string{"server"}, Description: "listed servers", MaxRows: 512,
		Gauges: []Field{{"in_flight", "attempts", "of this sidecar in flight at the server"}},
	}
	Contracts = &Family{
		Name: "contracts", Labels: []string{"team", "verdict"}, Description: "requests by team and verdict of its contracts", MaxRows: 4096,
		Counters: []Field{{"requests", "requests", "with that verdict"}},
	}
	Process = &Family{
		Name: "process", Description: "the sidecar's process", MaxRows: 1,
		Gauges: []Field{
			{"started", "s since 1970", "start of the process, from which totals count"}, {"memory", "bytes", "mapped by the Go runtime"},
			{"servers", "servers", "in the list"}, {"servers_avoided", "servers", "of those, ejected or excluded by an operator"},
		},
	}
	Reporting = &Family{
		Name: "reporting", Labels: []string{"receiver"}, Description: "the reporting itself", MaxRows: 8,
		Counters: []Field{
			{"intervals", "intervals", "that have ended"}, {"written", "intervals", "written to the receiver, including resent ones"},
			{"again", "intervals", "of those, resent after a lost connection"},
			{"merged", "intervals", "merged with the one before for lack of space"},
			{"breaks", "connections", "connections that broke or stalled"},
			{"rejected", "lists", "that the receiver rejected or that could not be encoded"},
		},
		Gauges: []Field{{"waiting", "intervals", "that wait for the receiver"}, {"spool", "bytes", "held in the spool"}},
	}
	// Families lists them all, in the order of a reading.
	Families = []*Family{Requests, Tenants, RequestValue, Latency, Attempts, Servers, Contracts, Process, Reporting}
)

// Row is the row of one thing in a table.
type Row struct {
	Family *Family
	Labels []string

	firstCounter, firstGauge int // index of the row's first value
	lastUsed                 int64
}

// Table assigns indices in samples to the values of each row. Rows with counters stay until the process ends, so that a total
// never becomes that of another thing. Rows with gauges only are removed, and their indices reused, when no spool holds an
// interval with them any more. It isn't safe for concurrent use.
type Table struct {
	rows        []*Row
	byKey       map[string]*Row
	rowCounts   map[*Family]int
	numCounters int
	numGauges   int
	freeGauges  map[*Family][]int // indices of removed rows
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{byKey: map[string]*Row{}, rowCounts: map[*Family]int{}, freeGauges: map[*Family][]int{}}
}

func key(f *Family, labels []string) string { return f.Name + "\x00" + strings.Join(labels, "\x00") }

// Row returns the row of a thing, and adds it if there is none; now is in Unix seconds.
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

// Prune removes rows with gauges only that were last used before a time, in Unix seconds.
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

// Rows returns all rows.
func (t *Table) Rows() []*Row { return t.rows }

// Sizes returns the number of counters and gauges in a sample.
func (t *Table) Sizes() (counters, gauges int) { return t.numCounters, t.numGauges }
