package report

import (
	"math"
	"time"
)

// Sample holds the values of all series at one moment: counters since the start of the process, and gauges, which are NaN
// where they have no value. A value's index is assigned by the table that the sample was collected with.
type Sample struct {
	Counters []int64
	Gauges   []float64
}

// State holds the input of a sample besides the counts.
type State struct {
	Time           time.Time
	Started        time.Time
	MemoryBytes    uint64
	Servers        []ServerState
	AvoidedServers int
	Teams          []TeamState
	Receivers      []ReceiverState
}

// ServerState is the reported state of a server.
type ServerState struct {
	Name     string
	InFlight int
}

// TeamState counts a team's requests by the verdict of its contracts.
type TeamState struct {
	Name     string
	Requests map[string]int64
}

// ReceiverState describes the reporting to one receiver. Its fields correspond to those of the Reporting family.
type ReceiverState struct {
	Name                                                      string
	Intervals, Written, Resent, Merged, Disconnects, Rejected int64
	Pending, SpoolBytes                                       int
}

// addRow adds values to a row. Values of several things that share an overflow row are summed.
func (s *Sample) addRow(t *Table, r *Row, counters []int64, gauges ...float64) {
	if missing := t.numCounters - len(s.Counters); missing > 0 {
		s.Counters = append(s.Counters, make([]int64, missing)...)
	}
	for len(s.Gauges) < t.numGauges {
		s.Gauges = append(s.Gauges, math.NaN())
	}
	for i, v := range counters {
		s.Counters[r.firstCounter+i] += v
	}
	for i, v := range gauges {
		gauge := &s.Gauges[r.firstGauge+i]
		if math.IsNaN(*gauge) {
			*gauge = 0
		}
		*gauge += v
	}
}

func (c *RequestCounts) values() []int64 {
	return []int64{c.Received, c.Served, c.Late, c.Refused, c.Failed, c.Retries}
}

// thousandths converts a value to whole thousandths.
func thousandths(value float64) int64 { return int64(math.Round(1000 * value)) }

// Collect returns a sample of the counts and of st. It adds rows to the table for new classes, pairs, servers and so on.
func (c *Counts) Collect(t *Table, st *State) *Sample {
	s, now := &Sample{}, st.Time.Unix()
	snap := c.Snapshot()
	for i := range snap.Classes {
		k, class := &snap.Classes[i], &c.config.Classes[i]
		s.addRow(t, t.Row(Requests, now, class.Name), k.values(), float64(k.Open))
		value := thousandths(class.Value)
		lateValue := thousandths(class.Value * class.LateValue)
		s.addRow(t, t.Row(RequestValue, now, class.Name),
			[]int64{value * (k.Received - k.Retries), value*(k.Served-k.Late) + lateValue*k.Late})
		s.addRow(t, t.Row(Latency, now, class.Name), snap.Latencies[i][:])
	}
	for i := range snap.Pairs {
		p := &snap.Pairs[i]
		tenant := Overflow
		if p.Tenant >= 0 {
			tenant = c.config.Tenants[p.Tenant]
		}
		s.addRow(t, t.Row(Tenants, now, c.config.Classes[p.Class].Name, tenant), p.values(), float64(p.Open))
	}
	s.addRow(t, t.Row(Attempts, now), append(append([]int64(nil), snap.Attempts[:]...), snap.Sends, snap.FurtherAttempts))
	for _, v := range st.Servers {
		s.addRow(t, t.Row(Servers, now, v.Name), nil, float64(v.InFlight))
	}
	for _, team := range st.Teams {
		for verdict, n := range team.Requests {
			s.addRow(t, t.Row(Contracts, now, team.Name, verdict), []int64{n})
		}
	}
	s.addRow(t, t.Row(Process, now), nil,
		float64(st.Started.Unix()), float64(st.MemoryBytes), float64(len(st.Servers)), float64(st.AvoidedServers))
	for _, r := range st.Receivers {
		s.addRow(t, t.Row(Reporting, now, r.Name), []int64{r.Intervals, r.Written, r.Resent, r.Merged, r.Disconnects, r.Rejected},
			float64(r.Pending), float64(r.SpoolBytes))
	}
	return s
}
