package register

import (
	"fmt"
)

// operation is a put or a read that an operator waits for.
type operation struct {
	id        uint64
	isPut     bool
	written   write // of a put
	startStep int   // step
	machine   int   // index
}

// write is a body under a version.
type write struct {
	version uint32
	body    string
}

// answer is the version that an operation was answered with.
type answer struct {
	endStep int // step
	version uint32
}

// history checks what operators are answered: a version has one body, which is never refused and then confirmed or the other way round,
// and no answer is older than one that had been given when its operation began.
type history struct {
	pending  map[uint64]operation
	answers  []answer
	bodies   map[uint32]string // of versions that were read or confirmed
	rejected map[write]bool
	breach   error // the first
}

func newHistory() history {
	return history{pending: map[uint64]operation{}, bodies: map[uint32]string{}, rejected: map[write]bool{}}
}

// begin notes an operation.
func (h *history) begin(o operation) { h.pending[o.id] = o }

// abandon drops the operations at a machine that was killed: they may have taken effect or not.
func (h *history) abandon(machine int) {
	for id, o := range h.pending {
		if o.machine == machine {
			delete(h.pending, id)
		}
	}
}

// end checks the answer of an operation. Its body is empty where the answer names none.
func (h *history) end(id uint64, step int, conflict bool, answered write) {
	o, ok := h.pending[id]
	if !ok {
		return
	}
	delete(h.pending, id)
	if o.isPut && answered.version < o.written.version {
		h.fail("an operator's version %d was answered with %d", o.written.version, answered.version)
	}
	if answered.body != "" {
		h.confirm(answered)
	}
	switch {
	case o.isPut && conflict:
		h.reject(o.written)
	case o.isPut:
		h.confirm(o.written)
	}
	for _, earlier := range h.answers {
		if earlier.endStep < o.startStep && earlier.version > answered.version {
			h.fail("version %d was answered, and after it %d", earlier.version, answered.version)
		}
	}
	h.answers = append(h.answers, answer{endStep: step, version: answered.version})
}

// confirm notes that a version has a body: the only one, and none that was rejected under it.
func (h *history) confirm(w write) {
	if other, ok := h.bodies[w.version]; ok && other != w.body {
		h.fail("version %d was %q and is %q", w.version, other, w.body)
	}
	if h.rejected[w] {
		h.fail("version %d is %q, which was rejected", w.version, w.body)
	}
	h.bodies[w.version] = w.body
}

// reject notes that a version will never have a body.
func (h *history) reject(w write) {
	if h.bodies[w.version] == w.body {
		h.fail("version %d is %q, which is rejected", w.version, w.body)
	}
	h.rejected[w] = true
}

func (h *history) fail(format string, args ...any) {
	if h.breach == nil {
		h.breach = fmt.Errorf(format, args...)
	}
}
