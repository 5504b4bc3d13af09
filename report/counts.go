// Package report counts what becomes of requests. It owns the counters and their snapshot; it knows no protocol, no server
// and nobody who reads the figures. Counting takes no lock and allocates nothing.
//
// Begin with Counts.
package report

import "sync/atomic"

// Kind is how a request ended.
type Kind uint8

// The kinds.
const (
	Served Kind = iota
	Refused
	Failed
	kinds
)

// Counts counts requests by class, from 0 at the start of the process. A nil one counts nothing. Its methods may be called
// from any goroutine.
type Counts struct {
	classes []class
	sends   atomic.Int64
}

type class struct {
	asked atomic.Int64
	ended [kinds]atomic.Int64
}

// New returns counts for so many classes.
func New(classes int) *Counts { return &Counts{classes: make([]class, classes)} }

// Asked counts a request that has come, and Ended that it has its final answer. A class that there is not counts nowhere.
func (c *Counts) Asked(class int) {
	if c != nil && class >= 0 && class < len(c.classes) {
		c.classes[class].asked.Add(1)
	}
}

func (c *Counts) Ended(class int, k Kind) {
	if c != nil && class >= 0 && class < len(c.classes) {
		c.classes[class].ended[k].Add(1)
	}
}

// Sent counts an attempt that was written whole to a server.
func (c *Counts) Sent() {
	if c != nil {
		c.sends.Add(1)
	}
}

// Class is what a snapshot holds of a class; Asked is the sum of the others.
type Class struct{ Asked, Served, Refused, Failed, Open int64 }

// Snapshot is the state of all counts at about one moment.
type Snapshot struct {
	Classes []Class
	Open    int64
	Sends   int64 // attempts written whole
}

// Snapshot reads the counts. What has ended is read before what was asked, so that no more can have ended than came.
func (c *Counts) Snapshot() Snapshot {
	s := Snapshot{Classes: make([]Class, len(c.classes)), Sends: c.sends.Load()}
	for i := range c.classes {
		k := &c.classes[i]
		v := Class{Served: k.ended[Served].Load(), Refused: k.ended[Refused].Load(), Failed: k.ended[Failed].Load()}
		v.Asked = k.asked.Load()
		v.Open = v.Asked - v.Served - v.Refused - v.Failed
		s.Open += v.Open
		s.Classes[i] = v
	}
	return s
}
