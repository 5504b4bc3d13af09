package report

import (
	"math"
	"time"
)

// Sample is the state of all series at one moment: counters since the process began, gauges as they are, NaN where there is
// none. Places are those of the table that it was taken with.
type Sample struct {
	Counters []int64
	Gauges   []float64
}

// State is what a sample is taken of, besides the counts.
type State struct {
	Time           time.Time
	Started        time.Time
	MemoryBytes    uint64
	Servers        []ServerState
	AvoidedServers int
	Teams          []TeamState
	Receivers      []ReceiverState
}

// ServerState is what is told of a server.
type ServerState struct {
	Name     string
	InFlight int
}

// TeamState is what contracts made of a team's requests, by verdict.
type TeamState struct {
	Name     string
	Requests map[string]int64
}

// ReceiverState is how reporting to one receiver goes.
type ReceiverState struct {
	Name                                                      string
	Intervals, Written, Resent, Merged, Disconnects, Rejected int64
	Pending, SpoolBytes                                       int
}

// take sets a row's figures; those of a row that several things share add up.
func (s *Sample) take(t *Table, r *Row, counters []int64, gauges ...float64) {
	if more := t.counters - len(s.Counters); more > 0 {
		s.Counters = append(s.Counters, make([]int64, more)...)
	}
	for len(s.Gauges) < t.gauges {
		s.Gauges = append(s.Gauges, math.NaN())
	}
	for i, v := range counters {
		s.Counters[r.counter+i] += v
	}
	for i, v := range gauges {
		at := &s.Gauges[r.gauge+i]
		if math.IsNaN(*at) {
			*at = 0
		}
		*at += v
	}
}

func (c *RequestCounts) fields() []int64 {
	return []int64{c.Received, c.Served, c.Late, c.Refused, c.Failed, c.Retries}
}

// thousandths of a worth.
func thousandths(worth float64) int64 { return int64(math.Round(1000 * worth)) }

// Take takes a sample. What is new gets a place in the table.
func (c *Counts) Collect(t *Table, st *State) *Sample {
	s, at := &Sample{}, st.Time.Unix()
	snap := c.Snapshot()
	for i := range snap.Classes {
		k, class := &snap.Classes[i], &c.shape.Classes[i]
		s.take(t, t.Row(Requests, at, class.Name), k.fields(), float64(k.Open))
		whole := thousandths(class.Value)
		lateWorth := thousandths(class.Value * class.LateValue)
		s.take(t, t.Row(RequestValue, at, class.Name), []int64{whole * (k.Received - k.Retries), whole*(k.Served-k.Late) + lateWorth*k.Late})
		s.take(t, t.Row(Latency, at, class.Name), snap.Latencies[i][:])
	}
	for i := range snap.Pairs {
		p := &snap.Pairs[i]
		tenant := Overflow
		if p.Tenant >= 0 {
			tenant = c.shape.Tenants[p.Tenant]
		}
		s.take(t, t.Row(Tenants, at, c.shape.Classes[p.Class].Name, tenant), p.fields(), float64(p.Open))
	}
	s.take(t, t.Row(Attempts, at), append(append([]int64(nil), snap.Attempts[:]...), snap.Sends, snap.FurtherAttempts))
	for _, v := range st.Servers {
		s.take(t, t.Row(Servers, at, v.Name), nil, float64(v.InFlight))
	}
	for _, team := range st.Teams {
		for verdict, n := range team.Requests {
			s.take(t, t.Row(Contracts, at, team.Name, verdict), []int64{n})
		}
	}
	s.take(t, t.Row(Process, at), nil, float64(st.Started.Unix()), float64(st.MemoryBytes), float64(len(st.Servers)), float64(st.AvoidedServers))
	for _, r := range st.Receivers {
		s.take(t, t.Row(Reporting, at, r.Name), []int64{r.Intervals, r.Written, r.Resent, r.Merged, r.Disconnects, r.Rejected},
			float64(r.Pending), float64(r.SpoolBytes))
	}
	return s
}
