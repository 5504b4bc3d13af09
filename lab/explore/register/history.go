package register

import (
	"fmt"

	"firplank/mesh/configversion"
)

// operation is a put or read whose response an operator is waiting for.
type operation struct {
	id        uint64
	isPut     bool
	written   write // body and version of a put
	startStep int
	machine   int // index of the machine that handles it
}

// write is a version and its body.
type write struct {
	version configversion.Version
	body    string
}

// answer is the version that was returned for an operation.
type answer struct {
	endStep int
	version configversion.Version
}

// history checks the responses to operators: each version has one body, a body is never both rejected and confirmed, and no operation
// returns an older version than one that was returned before the operation began.
type history struct {
	pending  map[uint64]operation
	answers  []answer
	bodies   map[configversion.Version]string // bodies of the versions that were read or confirmed
	rejected map[write]bool
	breach   error // first breach of an invariant
}

func newHistory() history {
	return history{pending: map[uint64]operation{}, bodies: map[configversion.Version]string{}, rejected: map[write]bool{}}
}

// begin records that an operation has started.
func (h *history) begin(o operation) { h.pending[o.id] = o }

// abandon discards the pending operations at a killed machine, which may have taken effect or not.
func (h *history) abandon(machine int) {
	for id, o := range h.pending {
		if o.machine == machine {
			delete(h.pending, id)
		}
	}
}

// end checks the response to an operation. The body is empty if the response has none.
func (h *history) end(id uint64, step int, conflict bool, answered write) {
	o, ok := h.pending[id]
	if !ok {
		return
	}
	delete(h.pending, id)
	if o.isPut && answered.version < o.written.version {
		h.fail("a put of version %d returned version %d", o.written.version, answered.version)
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
			h.fail("version %d was returned, and %d after it", earlier.version, answered.version)
		}
	}
	h.answers = append(h.answers, answer{endStep: step, version: answered.version})
}

// confirm records the body of a version and checks that the version has no other body and that this body was not rejected.
func (h *history) confirm(w write) {
	if other, ok := h.bodies[w.version]; ok && other != w.body {
		h.fail("version %d was %q and is %q", w.version, other, w.body)
	}
	if h.rejected[w] {
		h.fail("version %d is %q, which was rejected", w.version, w.body)
	}
	h.bodies[w.version] = w.body
}

// reject records that a version will never have this body.
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
