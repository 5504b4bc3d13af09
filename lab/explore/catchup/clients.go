package catchup

import (
	"time"

	"firplank/mesh/register"
)

const (
	// operators work at the same time, each with one change in flight.
	operators = 2
	// requestTimeout is after what time a change is sent again, to any machine.
	requestTimeout = 700 * time.Millisecond
	readInterval   = 20 * time.Millisecond
)

// clients are the operators that make changes, and a reader.
type clients struct {
	lastID       uint64
	pending      map[uint64]*operation // by the ID of the request
	lastVersion  uint32                // of the last change that was begun
	acknowledged int                   // changes
}

// operation is a change, or a read.
type operation struct {
	version uint32 // 0: a read
	body    []byte
	began   time.Duration
	machine *machine // nil: it went down
}

func (o *operation) isRead() bool { return o.version == 0 }

// nextChange has an operator begin the next change.
func (w *world) nextChange() {
	c := &w.clients
	if int(c.lastVersion) >= w.plan.Changes {
		return
	}
	c.lastVersion++
	body := make([]byte, w.plan.BodyBytes)
	for i := range body {
		body[i] = byte(w.rng.Uint32())
	}
	w.history.sent(c.lastVersion, body)
	w.request(&operation{version: c.lastVersion, body: body, began: w.now})
}

// read has the reader send a read, again and again.
func (w *world) read() {
	if w.machines[0].isUp() || w.machines[1].isUp() {
		w.request(&operation{began: w.now})
	}
	w.after(readInterval, w.read)
}

// request sends an operation to some machine; a change also to others, until it is acknowledged.
func (w *world) request(o *operation) {
	c := &w.clients
	c.lastID++
	id := c.lastID
	m := w.machines[w.rng.IntN(members)]
	if m.isUp() {
		o.machine = m
		c.pending[id] = o
		m.apply(o.event(id))
	}
	w.after(requestTimeout, func() {
		if m.isUp() {
			m.pipeline.Cancel(id)
		}
		delete(c.pending, id)
		if !o.isRead() && !w.history.isAcknowledged(o.version) {
			w.request(o)
		}
	})
}

func (o *operation) event(id uint64) register.Event {
	if o.isRead() {
		return register.LinearizableRead{ID: id}
	}
	return register.Put{ID: id, Version: o.version, Content: register.ContentOf(o.body), Body: o.body}
}

// completed takes in the outcome of an operation at a machine.
func (w *world) handleOutcome(m *machine, outcome register.Outcome) {
	o := w.clients.pending[outcome.ID]
	if o == nil || o.machine != m {
		return
	}
	delete(w.clients.pending, outcome.ID)
	value := &outcome.Value
	switch {
	case outcome.Result != register.Confirmed:
		w.history.fail("version %d was refused", o.version)
	case o.isRead():
		w.history.read(value.Version, value.Body, o.began, w.now)
	case !w.history.isAcknowledged(o.version):
		w.history.acknowledged(o.version, value.Version, value.Body, o.began, w.now)
		w.clients.acknowledged++
		w.nextChange()
	}
}

// wentDown drops what a machine was to answer.
func (c *clients) machineStopped(m *machine) {
	for id, o := range c.pending {
		if o.machine != m {
			continue
		}
		o.machine = nil
		if o.isRead() {
			delete(c.pending, id)
		}
	}
}
