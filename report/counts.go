// Package report counts what becomes of requests and makes series of the counts. It owns the counters, their snapshot and the
// names and meanings of the series; it knows no protocol, no server and nobody who reads the figures. Counting takes no lock
// and allocates nothing.
//
// counts.go and histogram.go count, table.go says which series there are, collect.go takes a sample of the counts, and
// render.go makes a reading of the difference between two. How readings are kept while nobody takes them is in spool,
// when they are sent in feed, and how they are written in graphite and collectd. Begin with Counts.
package report

import (
	"sync/atomic"
	"time"
)

// Kind is how a request ended.
type RequestOutcome uint8

// The kinds.
const (
	Served RequestOutcome = iota
	Refused
	Failed
	servedLate // of Served, after its aim
	numRequestOutcomes
)

// Outcome is how an attempt at a server ended.
type AttemptOutcome uint8

// The outcomes.
const (
	OK AttemptOutcome = iota
	Error
	Rejected
	TimedOut
	NotConnected
	Reset
	Cancelled
	NotSent
	numAttemptOutcomes
)

// Shape is what there is to count.
type Config struct {
	Classes []Class
	Tenants []string // by number
	// Pairs bounds the pairs of class and tenant that are counted apart, the first that come; what is beyond them is
	// counted under its class and Overflow. 0: 2,000.
	MaxPairs int
}

// Class is what is to be known of a class.
type Class struct {
	Name             string
	LatencyTarget    time.Duration // a later answer counts as late; 0: none does
	Value, LateValue float64       // LateWorth is a part of Worth
}

// Overflow names the tenant under which those are counted that have no counters of their own.
const Overflow = "overflow"

const defaultMaxPairs = 2000

// Counts counts requests by class and tenant, from 0 at the start of the process. A nil one counts nothing. Its methods may
// be called from any goroutine. It costs 56 bytes for each pair that it counts apart, 4 for each that there could be, and 1.4
// KB for each class.
type Counts struct {
	config          Config
	pairIndex       []atomic.Uint32   // by class × tenants + tenant: 0 none yet, else 1 + the cell
	pairsAssigned   atomic.Uint32     // cells given out
	counters        []requestCounters // the first are the classes' own, for tenants beyond the bound
	latencies       []Histogram       // of what was served, by class
	sends           atomic.Int64
	furtherAttempts atomic.Int64
	attempts        [numAttemptOutcomes]atomic.Int64
}

type requestCounters struct {
	class, tenant int // tenant -1: Overflow. Written before the cell is told of in index
	received      atomic.Int64
	retries       atomic.Int64
	ended         [numRequestOutcomes]atomic.Int64
}

// New returns counts of a shape.
func New(s Config) *Counts {
	if s.MaxPairs <= 0 {
		s.MaxPairs = defaultMaxPairs
	}
	s.MaxPairs = min(s.MaxPairs, len(s.Classes)*len(s.Tenants))
	c := &Counts{
		config: s, pairIndex: make([]atomic.Uint32, len(s.Classes)*len(s.Tenants)), counters: make([]requestCounters, len(s.Classes)+s.MaxPairs),
		latencies: make([]Histogram, len(s.Classes)),
	}
	for i := range s.Classes {
		c.counters[i].class, c.counters[i].tenant = i, -1
	}
	return c
}

// cell returns where a pair is counted; nil where there is no such class.
func (c *Counts) countersOf(class, tenant int) *requestCounters {
	if c == nil || class < 0 || class >= len(c.config.Classes) {
		return nil
	}
	if tenant < 0 || tenant >= len(c.config.Tenants) {
		return &c.counters[class]
	}
	entry := &c.pairIndex[class*len(c.config.Tenants)+tenant]
	if n := entry.Load(); n != 0 {
		return &c.counters[n-1]
	}
	return c.assignPair(entry, class, tenant)
}

// assign gives a pair a cell of its own, while there are any.
func (c *Counts) assignPair(entry *atomic.Uint32, class, tenant int) *requestCounters {
	numClasses := len(c.config.Classes)
	n := int(c.pairsAssigned.Add(1)) - 1
	if n >= c.config.MaxPairs {
		c.pairsAssigned.Store(uint32(c.config.MaxPairs)) // so that it never comes round
		entry.CompareAndSwap(0, uint32(class)+1)
	} else {
		k := &c.counters[numClasses+n]
		k.class, k.tenant = class, tenant
		entry.CompareAndSwap(0, uint32(numClasses+n)+1) // else another goroutine was first, and this cell stays empty
	}
	return &c.counters[entry.Load()-1]
}

// Asked counts a request that has come; retry says that its client has tried before. A class that there is not counts
// nowhere, a tenant that there is not under Overflow.
func (c *Counts) RequestReceived(class, tenant int, retry bool) {
	k := c.countersOf(class, tenant)
	if k == nil {
		return
	}
	k.received.Add(1)
	if retry {
		k.retries.Add(1)
	}
}

// Ended counts that a request has its final answer, and how long that took.
func (c *Counts) RequestEnded(class, tenant int, outcome RequestOutcome, took time.Duration) {
	k := c.countersOf(class, tenant)
	if k == nil {
		return
	}
	if outcome == Served {
		c.latencies[class].Add(took)
		if target := c.config.Classes[class].LatencyTarget; target > 0 && took > target {
			outcome = servedLate
		}
	}
	k.ended[outcome].Add(1)
}

// Sent counts an attempt that was written whole to a server.
func (c *Counts) AttemptSent() {
	if c != nil {
		c.sends.Add(1)
	}
}

// Attempted counts an attempt that has ended; again says that it was not the first of its request.
func (c *Counts) AttemptEnded(outcome AttemptOutcome, further bool) {
	if c == nil || outcome >= numAttemptOutcomes {
		return
	}
	c.attempts[outcome].Add(1)
	if further {
		c.furtherAttempts.Add(1)
	}
}

// Count is what a snapshot holds of a class or of a pair. Asked is the sum of Served, Refused, Failed and Open.
type RequestCounts struct {
	Received, Served, Refused, Failed, Open int64
	Late                                    int64 // of Served, after the aim
	Retries                                 int64 // of Asked
}

func (a *RequestCounts) add(b *RequestCounts) {
	a.Received += b.Received
	a.Served += b.Served
	a.Refused += b.Refused
	a.Failed += b.Failed
	a.Open += b.Open
	a.Late += b.Late
	a.Retries += b.Retries
}

// Pair is the count of a class and a tenant; Tenant -1 is Overflow.
type Pair struct {
	Class, Tenant int
	RequestCounts
}

// Snapshot is the state of all counts at about one moment.
type Snapshot struct {
	Classes         []RequestCounts // by class, over all tenants
	Pairs           []Pair          // that were ever asked
	Open            int64
	Sends           int64 // attempts written whole
	FurtherAttempts int64 // attempts beyond a request's first
	Attempts        [numAttemptOutcomes]int64
	Latencies       []Buckets // of what was served, by class
}

// Snapshot reads the counts. What has ended is read before what was asked, so that no more can have ended than came.
func (c *Counts) Snapshot() Snapshot {
	s := Snapshot{Classes: make([]RequestCounts, len(c.config.Classes)), Sends: c.sends.Load(), FurtherAttempts: c.furtherAttempts.Load()}
	for i := range c.attempts {
		s.Attempts[i] = c.attempts[i].Load()
	}
	for i := range c.latencies {
		s.Latencies = append(s.Latencies, c.latencies[i].Snapshot())
	}
	numClasses := len(c.config.Classes)
	for i := range numClasses + min(int(c.pairsAssigned.Load()), c.config.MaxPairs) {
		k := &c.counters[i]
		v := RequestCounts{Late: k.ended[servedLate].Load(), Refused: k.ended[Refused].Load(), Failed: k.ended[Failed].Load()}
		v.Served = k.ended[Served].Load() + v.Late
		v.Retries = k.retries.Load()
		v.Received = k.received.Load()
		v.Open = v.Received - v.Served - v.Refused - v.Failed
		if v.Received == 0 {
			continue // the fields that name it may be being written
		}
		s.Open += v.Open
		s.Classes[k.class].add(&v)
		s.Pairs = append(s.Pairs, Pair{Class: k.class, Tenant: k.tenant, RequestCounts: v})
	}
	return s
}
