package members

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/configversion"
)

// ErrLost and ErrUnavailable are the two kinds of breaches.
var (
	ErrLost        = errors.New("a confirmed version is lost")
	ErrUnavailable = errors.New("operators receive no responses")
)

// History records the operations of operators and the responses, and checks them. It is independent of how the machines work.
type History struct {
	Broken     error
	pending    map[uint64]operation
	answers    []answer
	lastAnswer time.Duration // time of the last response to an operator
	lastWrite  time.Duration // time of the last confirmed write
}

// operation is a write of a version, or a read.
type operation struct {
	version configversion.Version // 0 for a read
	beganAt time.Duration
}

type answer struct {
	version configversion.Version
	endedAt time.Duration
}

// Begin records that an operator has started a write of a version, or a read if version is 0.
func (h *History) Begin(id uint64, version configversion.Version, now time.Duration) {
	if h.pending == nil {
		h.pending = map[uint64]operation{}
	}
	h.pending[id] = operation{version, now}
}

// End records the response, which is the current version. It must not be below the version that was written, nor below any version that
// was returned before the operation began.
func (h *History) End(id uint64, version configversion.Version, now time.Duration) {
	o, ok := h.pending[id]
	if !ok {
		return
	}
	delete(h.pending, id)
	if version < o.version {
		h.fail(ErrLost, "%v: version %d was confirmed, but the current version is %d", now, o.version, version)
	}
	for i := len(h.answers) - 1; i >= 0; i-- {
		if a := h.answers[i]; a.endedAt < o.beganAt {
			if a.version > version {
				h.fail(ErrLost, "%v: version %d was returned at %v, and %d after it", now, a.version, a.endedAt, version)
			}
			break
		}
	}
	if o.version > 0 {
		h.lastWrite = now
	}
	highest := version
	if n := len(h.answers); n > 0 {
		highest = max(highest, h.answers[n-1].version) // versions never decrease, so that the last answer before a time is the highest
	}
	h.answers, h.lastAnswer = append(h.answers, answer{highest, now}), now
}

// Expire removes an operation whose operator does not wait any longer.
func (h *History) Expire(id uint64) { delete(h.pending, id) }

// Confirmed reports whether a write has been confirmed since a time.
func (h *History) Confirmed(since time.Duration) bool { return h.lastWrite > since }

// CheckAvailability records a breach if no operator has received a response for longer than maxUnavailability.
func (h *History) CheckAvailability(now, maxUnavailability time.Duration) {
	if now-h.lastAnswer > maxUnavailability && now > settleTime {
		h.fail(ErrUnavailable, "%v: no operator received a response for %v", now, now-h.lastAnswer)
	}
}

func (h *History) fail(kind error, format string, args ...any) {
	if h.Broken == nil {
		h.Broken = fmt.Errorf("%w: %s", kind, fmt.Sprintf(format, args...))
	}
}
