package report

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testConfig(classes, tenants, pairs int) Config {
	s := Config{MaxPairs: pairs}
	for i := range classes {
		s.Classes = append(s.Classes,
			Class{Name: fmt.Sprint("class ", i), LatencyTarget: 100 * time.Millisecond, Value: 3, LateValue: 0.5})
	}
	for i := range tenants {
		s.Tenants = append(s.Tenants, fmt.Sprint("tenant ", i))
	}
	return s
}

// In snapshots taken during concurrent counting, no request ends before it was received, and classes are the sum of their pairs.
func TestSnapshotsAreConsistent(t *testing.T) {
	c := New(testConfig(2, 3, 4))
	c.RequestReceived(7, 0, false) // an unknown class
	var counting sync.WaitGroup
	for i := range 4 {
		counting.Go(func() {
			for n := range 5000 {
				c.RequestReceived(i%2, n%5-1, n%7 == 0)
				c.AttemptSent()
				c.AttemptEnded(AttemptOutcome(n%int(numAttemptOutcomes)), n%3 == 0)
				c.RequestEnded(i%2, n%5-1, RequestOutcome(n%3), time.Duration(n%200)*time.Millisecond)
			}
		})
	}
	done := make(chan bool)
	go func() { counting.Wait(); close(done) }()
	for finished := false; !finished; {
		select {
		case <-done:
			finished = true
		default:
		}
		s := c.Snapshot()
		var byClass [2]RequestCounts
		for i := range s.Pairs {
			p := &s.Pairs[i]
			if p.Open < 0 || p.Retries > p.Received { // Open is Received less all ended requests
				t.Fatalf("pair %+v", p)
			}
			byClass[p.Class].add(&p.RequestCounts)
		}
		if byClass[0] != s.Classes[0] || byClass[1] != s.Classes[1] || len(s.Pairs) > 2+4 {
			t.Fatalf("classes %+v, sums of %d pairs %+v", s.Classes, len(s.Pairs), byClass)
		}
		if finished && (s.Open != 0 || s.Sends != 20000 || s.Classes[0].Received+s.Classes[1].Received != 20000) {
			t.Errorf("final classes %+v", s.Classes)
		}
	}
	(*Counts)(nil).RequestReceived(0, 0, false)
}

// With 500 classes and 100 tenants, pairs beyond MaxPairs are counted as Overflow, and the sums of the classes are right.
func TestTooManyPairsOverflow(t *testing.T) {
	c := New(testConfig(500, 100, 300))
	for round := range 2 {
		for class := range 500 {
			for tenant := range 100 {
				c.RequestReceived(class, tenant, round == 1)
				c.RequestEnded(class, tenant, Served, time.Millisecond)
			}
		}
	}
	s := c.Snapshot()
	own, overflow := 0, int64(0)
	for _, p := range s.Pairs {
		if p.Tenant >= 0 {
			own++
		} else {
			overflow += p.Served
		}
	}
	if own != 300 || overflow != 2*(50000-300) {
		t.Errorf("%d pairs with their own counters, %d requests in overflow", own, overflow)
	}
	for i, k := range s.Classes {
		if k.Served != 200 || k.Retries != 100 {
			t.Fatalf("class %d: %+v", i, k)
		}
	}
	table := NewTable()
	sample := c.Collect(table, &State{Time: time.Now()})
	if n := len(table.Rows()); n > 500*3+300+500+10 || len(sample.Counters) == 0 {
		t.Errorf("%d rows", n)
	}
}

// The error of a duration that a histogram returns is at most 6.25 %.
func TestHistogramError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		took := time.Duration(rapid.Int64Range(int64(minDuration), int64(2*time.Minute)).Draw(t, "took"))
		var h Histogram
		h.Add(took)
		b := h.Snapshot()
		got, ok := quantile(b[:], 0.5)
		if off := float64(got-took) / float64(took); !ok || off > 0.0626 || off < -0.0626 {
			t.Fatalf("%v is reported as %v", took, got)
		}
	})
	var h Histogram
	for i := range 1000 {
		h.Add(time.Duration(i+1) * time.Millisecond)
	}
	b := h.Snapshot()
	for part, want := range map[float64]float64{0.5: 500, 0.9: 900, 0.99: 990} {
		if got, _ := quantile(b[:], part); got.Seconds()*1000 < want*0.93 || got.Seconds()*1000 > want*1.07 {
			t.Errorf("p%v is %v", part, got)
		}
	}
	h.Add(-1)
	h.Add(time.Hour)
}

// Totals cover all that was counted, deltas only what was counted between two samples.
func TestRenderShowsDeltasAndTotals(t *testing.T) {
	c, table := New(testConfig(1, 1, 0)), NewTable()
	count := func(n int) {
		for i := range n {
			c.RequestReceived(0, 0, i == 0)
			c.RequestEnded(0, 0, Served, time.Duration(50+100*(i%2))*time.Millisecond)
		}
	}
	count(3)
	before := c.Collect(table, &State{Time: time.Unix(10, 0)})
	count(4)
	c.RequestReceived(0, 0, false)
	after := c.Collect(table, &State{Time: time.Unix(20, 0), Servers: []ServerState{{"s-1", 2}}})
	growth := append([]int64(nil), after.Counters...)
	for i, v := range before.Counters {
		growth[i] -= v
	}
	r := table.Render(time.Unix(20, 0), 10*time.Second, growth, after.Counters, after.Gauges)
	got := map[string]RowReading{}
	for _, row := range r.Rows {
		got[row.Family.Name] = row
	}
	q := got["requests"]
	if fmt.Sprint(q.Totals, q.Deltas, q.Gauges) != "[8 7 3 0 0 2] [5 4 2 0 0 1] [1 1]" {
		t.Errorf("requests %v %v %v", q.Totals, q.Deltas, q.Gauges)
	}
	if w := got["worth"]; fmt.Sprint(w.Deltas) != "[12000 9000]" {
		t.Errorf("worth %v", w.Deltas)
	}
	if l := got["latency"]; len(l.Totals) != 0 || l.Gauges[0] < 46 || l.Gauges[0] > 54 || l.Gauges[3] < 140 || l.Gauges[3] > 160 {
		t.Errorf("latency %v", l)
	}
	if s := got["servers"]; s.Gauges[0] != 2 {
		t.Errorf("servers %v", s)
	}
}

// A long series of servers that are added and removed must not grow the table: their gauges' indices are reused after Prune.
func TestGaugePlacesAreReused(t *testing.T) {
	table := NewTable()
	for at := range int64(5000) {
		table.Row(Servers, at, fmt.Sprint("s-", at))
		if table.Prune(at - 100); len(table.Rows()) > 102 {
			t.Fatalf("%d rows", len(table.Rows()))
		}
	}
	if _, gauges := table.Sizes(); gauges > 102 {
		t.Errorf("%d gauges", gauges)
	}
	for i := range 2 * Servers.MaxRows {
		table.Row(Servers, 5000, fmt.Sprint("t-", i))
	}
	if n := len(table.Rows()); n > Servers.MaxRows+1 {
		t.Errorf("%d rows", n)
	}
}

func BenchmarkRecord(b *testing.B) {
	c := New(testConfig(50, 20, 0))
	b.ReportAllocs()
	i := 0
	for b.Loop() { // a request with one attempt
		c.RequestReceived(i&31, i&15, false)
		c.AttemptSent()
		c.AttemptEnded(OK, false)
		c.RequestEnded(i&31, i&15, Served, time.Duration(i&1023)*time.Millisecond)
		i++
	}
}

// The largest table that the bounds allow, with 500 classes and 100 tenants that all have requests.
func BenchmarkCollectLargest(b *testing.B) {
	c := New(testConfig(500, 100, 0))
	for class := range 500 {
		for tenant := range 100 {
			c.RequestReceived(class, tenant, false)
			c.RequestEnded(class, tenant, Served, time.Millisecond)
		}
	}
	table := NewTable()
	for b.Loop() {
		s := c.Collect(table, &State{Time: time.Unix(10, 0)})
		table.Render(time.Unix(10, 0), time.Second, s.Counters, s.Counters, s.Gauges)
	}
}

func TestCountingAllocatesNothing(t *testing.T) {
	c := New(testConfig(5, 5, 0))
	if n := testing.AllocsPerRun(100,
		func() {
			c.RequestReceived(1, 2, true)
			c.AttemptSent()
			c.AttemptEnded(OK, false)
			c.RequestEnded(1, 2, Served, time.Second)
		}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// Unescape reverses Escape, so that different names stay different.
func FuzzEscape(f *testing.F) {
	for _, s := range []string{"", "plate-reserve", "permit.lookup v2", "permit%2Elookup v2", `a"b'`, "a\nb", "%", "%~",
		"ü/ö", string(make([]byte, 300))} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, name string) {
		e := Escape(name, 200)
		for i := range len(e) {
			if !isPlainByte(e[i]) && e[i] != '%' && e[i] != '~' {
				t.Fatalf("%q is escaped as %q", name, e)
			}
		}
		if len(e) > 200 || e == "" {
			t.Fatalf("%q is escaped in %d bytes", name, len(e))
		}
		back, err := Unescape(e)
		if err == nil && back != name || err != nil && len(name) < 60 {
			t.Fatalf("%q is escaped as %q, which is %q, %v", name, e, back, err)
		}
		if back, err := Unescape(name); err == nil && Escape(back, 1<<20) != name {
			t.Fatalf("%q is %q", name, back)
		}
	})
}
