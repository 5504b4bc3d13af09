// Package report counts requests and attempts by their outcome and derives metric series from the counts. It owns the counters,
// their snapshot, and the names and meanings of the series. It doesn't depend on a protocol, on servers or on the receivers of
// the metrics. Counting takes no lock and allocates nothing.
//
// counts.go and histogram.go hold the counters, table.go defines the series, collect.go samples the counts, and render.go
// computes a reading from the difference of two samples. Package spool buffers readings until a receiver has got them, feed
// decides when they are sent, graphite and collectd encode them. Start reading at Counts.
package report

import (
	"sync/atomic"
	"time"
)

// RequestOutcome is the outcome of a request.
type RequestOutcome uint8

// The outcomes of requests.
const (
	Served RequestOutcome = iota
	Refused
	Failed
	servedLate // served after the latency target
	numRequestOutcomes
)

// AttemptOutcome is the outcome of an attempt at a server.
type AttemptOutcome uint8

// The outcomes of attempts. The families' field texts in table.go explain them.
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

// Config lists the classes and tenants to count.
type Config struct {
	Classes []Class
	Tenants []string // by tenant index
	// MaxPairs limits the pairs of class and tenant with counters of their own, which the first pairs to occur get. Requests of
	// further pairs are counted under their class and the tenant Overflow. 0 means 2,000.
	MaxPairs int
}

// Class describes a request class.
type Class struct {
	Name             string
	LatencyTarget    time.Duration // answers after it count as late; 0: no answer does
	Value, LateValue float64       // LateValue is the fraction of Value that a late answer has
}

// Overflow is the label of everything that has no row or counters of its own.
const Overflow = "overflow"

const defaultMaxPairs = 2000

// Counts counts requests by class and tenant, from 0 at the start of the process. The counting methods of a nil Counts do
// nothing. It is safe for concurrent use. It needs 56 bytes for each pair with counters of its own, 4 bytes for each possible
// pair and 1.4 KB for each class.
type Counts struct {
	config          Config
	pairIndex       []atomic.Uint32   // by class × tenants + tenant: 0 means not assigned, else 1 + the index in counters
	pairsAssigned   atomic.Uint32     // may exceed MaxPairs for a moment
	counters        []requestCounters // the first ones are the classes' overflow counters
	latencies       []Histogram       // of served requests, by class
	sends           atomic.Int64
	furtherAttempts atomic.Int64
	attempts        [numAttemptOutcomes]atomic.Int64
}

// requestCounters counts the requests of a pair.
type requestCounters struct {
	class, tenant int // tenant -1: Overflow; written before pairIndex refers to the counters
	received      atomic.Int64
	retries       atomic.Int64
	ended         [numRequestOutcomes]atomic.Int64
}

// New returns counts for the classes and tenants of a configuration.
func New(config Config) *Counts {
	if config.MaxPairs <= 0 {
		config.MaxPairs = defaultMaxPairs
	}
	config.MaxPairs = min(config.MaxPairs, len(config.Classes)*len(config.Tenants))
	c := &Counts{
		config: config, pairIndex: make([]atomic.Uint32, len(config.Classes)*len(config.Tenants)),
		counters: make([]requestCounters, len(config.Classes)+config.MaxPairs), latencies: make([]Histogram, len(config.Classes)),
	}
	for i := range config.Classes {
		c.counters[i].class, c.counters[i].tenant = i, -1
	}
	return c
}

// countersOf returns the counters of a pair, or nil if the class is unknown.
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

// assignPair gives a pair counters of its own if any are left, else its class's overflow counters.
func (c *Counts) assignPair(entry *atomic.Uint32, class, tenant int) *requestCounters {
	numClasses := len(c.config.Classes)
	n := int(c.pairsAssigned.Add(1)) - 1
	if n >= c.config.MaxPairs {
		c.pairsAssigned.Store(uint32(c.config.MaxPairs)) // so that the number never wraps around
		entry.CompareAndSwap(0, uint32(class)+1)
	} else {
		k := &c.counters[numClasses+n]
		k.class, k.tenant = class, tenant
		entry.CompareAndSwap(0, uint32(numClasses+n)+1) // if another goroutine was first, these counters stay unused
	}
	return &c.counters[entry.Load()-1]
}

// RequestReceived counts a received request; retry tells whether its client has marked it as a retry. A request of an unknown
// class isn't counted, one of an unknown tenant counts under Overflow.
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

// RequestEnded counts the final answer of a request, took after it was received.
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

// AttemptSent counts an attempt whose request was written completely to a server.
func (c *Counts) AttemptSent() {
	if c != nil {
		c.sends.Add(1)
	}
}

// AttemptEnded counts the end of an attempt; further tells whether it wasn't the first one of its request.
func (c *Counts) AttemptEnded(outcome AttemptOutcome, further bool) {
	if c == nil || outcome >= numAttemptOutcomes {
		return
	}
	c.attempts[outcome].Add(1)
	if further {
		c.furtherAttempts.Add(1)
	}
}

// RequestCounts holds the counts of a class or a pair. Received is the sum of Served, Refused, Failed and Open.
type RequestCounts struct {
	Received, Served, Refused, Failed, Open int64
	Late                                    int64 // part of Served: after the latency target
	Retries                                 int64 // part of Received
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

// Pair holds the counts of a class and a tenant. Tenant -1 is Overflow.
type Pair struct {
	Class, Tenant int
	RequestCounts
}

// Snapshot holds all counts. They are read one after the other, not atomically.
type Snapshot struct {
	Classes         []RequestCounts // by class, over all tenants
	Pairs           []Pair          // that have received requests
	Open            int64
	Sends           int64 // attempts written completely
	FurtherAttempts int64 // attempts after a request's first
	Attempts        [numAttemptOutcomes]int64
	Latencies       []Buckets // of served requests, by class
}

// Snapshot reads the counts. Ended requests are read before received ones, so that Open is never negative.
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
			continue // class and tenant may be being written concurrently
		}
		s.Open += v.Open
		s.Classes[k.class].add(&v)
		s.Pairs = append(s.Pairs, Pair{Class: k.class, Tenant: k.tenant, RequestCounts: v})
	}
	return s
}
