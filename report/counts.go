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
	late // of Served, after its aim
	kinds
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
	outcomes
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

const usualPairs = 2000

// Counts counts requests by class and tenant, from 0 at the start of the process. A nil one counts nothing. Its methods may
// be called from any goroutine. It costs 56 bytes for each pair that it counts apart, 4 for each that there could be, and 1.4
// KB for each class.
type Counts struct {
	shape    Config
	index    []atomic.Uint32 // by class × tenants + tenant: 0 none yet, else 1 + the cell
	next     atomic.Uint32   // cells given out
	cells    []cell          // the first are the classes' own, for tenants beyond the bound
	took     []Histogram     // of what was served, by class
	sends    atomic.Int64
	again    atomic.Int64
	attempts [outcomes]atomic.Int64
}

type cell struct {
	class, tenant int // tenant -1: Overflow. Written before the cell is told of in index
	asked         atomic.Int64
	retries       atomic.Int64
	ended         [kinds]atomic.Int64
}

// New returns counts of a shape.
func New(s Config) *Counts {
	if s.MaxPairs <= 0 {
		s.MaxPairs = usualPairs
	}
	s.MaxPairs = min(s.MaxPairs, len(s.Classes)*len(s.Tenants))
	c := &Counts{
		shape: s, index: make([]atomic.Uint32, len(s.Classes)*len(s.Tenants)), cells: make([]cell, len(s.Classes)+s.MaxPairs),
		took: make([]Histogram, len(s.Classes)),
	}
	for i := range s.Classes {
		c.cells[i].class, c.cells[i].tenant = i, -1
	}
	return c
}

// cell returns where a pair is counted; nil where there is no such class.
func (c *Counts) cell(class, tenant int) *cell {
	if c == nil || class < 0 || class >= len(c.shape.Classes) {
		return nil
	}
	if tenant < 0 || tenant >= len(c.shape.Tenants) {
		return &c.cells[class]
	}
	at := &c.index[class*len(c.shape.Tenants)+tenant]
	if n := at.Load(); n != 0 {
		return &c.cells[n-1]
	}
	return c.assign(at, class, tenant)
}

// assign gives a pair a cell of its own, while there are any.
func (c *Counts) assign(at *atomic.Uint32, class, tenant int) *cell {
	own := len(c.shape.Classes)
	n := int(c.next.Add(1)) - 1
	if n >= c.shape.MaxPairs {
		c.next.Store(uint32(c.shape.MaxPairs)) // so that it never comes round
		at.CompareAndSwap(0, uint32(class)+1)
	} else {
		k := &c.cells[own+n]
		k.class, k.tenant = class, tenant
		at.CompareAndSwap(0, uint32(own+n)+1) // else another goroutine was first, and this cell stays empty
	}
	return &c.cells[at.Load()-1]
}

// Asked counts a request that has come; retry says that its client has tried before. A class that there is not counts
// nowhere, a tenant that there is not under Overflow.
func (c *Counts) RequestReceived(class, tenant int, retry bool) {
	k := c.cell(class, tenant)
	if k == nil {
		return
	}
	k.asked.Add(1)
	if retry {
		k.retries.Add(1)
	}
}

// Ended counts that a request has its final answer, and how long that took.
func (c *Counts) RequestEnded(class, tenant int, kind RequestOutcome, took time.Duration) {
	k := c.cell(class, tenant)
	if k == nil {
		return
	}
	if kind == Served {
		c.took[class].Add(took)
		if aim := c.shape.Classes[class].LatencyTarget; aim > 0 && took > aim {
			kind = late
		}
	}
	k.ended[kind].Add(1)
}

// Sent counts an attempt that was written whole to a server.
func (c *Counts) AttemptSent() {
	if c != nil {
		c.sends.Add(1)
	}
}

// Attempted counts an attempt that has ended; again says that it was not the first of its request.
func (c *Counts) AttemptEnded(o AttemptOutcome, again bool) {
	if c == nil || o >= outcomes {
		return
	}
	c.attempts[o].Add(1)
	if again {
		c.again.Add(1)
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
	Attempts        [outcomes]int64
	Latencies       []Buckets // of what was served, by class
}

// Snapshot reads the counts. What has ended is read before what was asked, so that no more can have ended than came.
func (c *Counts) Snapshot() Snapshot {
	s := Snapshot{Classes: make([]RequestCounts, len(c.shape.Classes)), Sends: c.sends.Load(), FurtherAttempts: c.again.Load()}
	for i := range c.attempts {
		s.Attempts[i] = c.attempts[i].Load()
	}
	for i := range c.took {
		s.Latencies = append(s.Latencies, c.took[i].Snapshot())
	}
	own := len(c.shape.Classes)
	for i := range own + min(int(c.next.Load()), c.shape.MaxPairs) {
		k := &c.cells[i]
		v := RequestCounts{Late: k.ended[late].Load(), Refused: k.ended[Refused].Load(), Failed: k.ended[Failed].Load()}
		v.Served = k.ended[Served].Load() + v.Late
		v.Retries = k.retries.Load()
		v.Received = k.asked.Load()
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
