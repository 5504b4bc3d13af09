package members

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// ErrLost and ErrSilence are the two ways in which a history breaks.
var (
	ErrLost        = errors.New("something confirmed is lost")
	ErrUnavailable = errors.New("operators are not answered any more")
)

// History is what operators did and were answered. It knows nothing of how the machines work.
type History struct {
	Broken     error
	pending    map[uint64]operation
	answers    []answer
	lastAnswer time.Duration // when an operator was last answered
	lastWrite  time.Duration // ... a write
}

// operation is a write of a version, or a read.
type operation struct {
	version uint32 // 0: a read
	beganAt time.Duration
}

type answer struct {
	version uint32
	endedAt time.Duration
}

// Begin notes that an operator has asked.
func (h *History) Begin(id uint64, version uint32, now time.Duration) {
	if h.pending == nil {
		h.pending = map[uint64]operation{}
	}
	h.pending[id] = operation{version, now}
}

// End notes the answer: the version that holds. It must not be below the one that was written, nor below any that was answered before the
// operator asked.
func (h *History) End(id uint64, version uint32, now time.Duration) {
	o, ok := h.pending[id]
	if !ok {
		return
	}
	delete(h.pending, id)
	if version < o.version {
		h.fail(ErrLost, "%v: version %d was confirmed, and %d holds", now, o.version, version)
	}
	for i := len(h.answers) - 1; i >= 0; i-- {
		if a := h.answers[i]; a.endedAt < o.beganAt {
			if a.version > version {
				h.fail(ErrLost, "%v: version %d was answered at %v, and after it %d", now, a.version, a.endedAt, version)
			}
			break
		}
	}
	if o.version > 0 {
		h.lastWrite = now
	}
	highest := version
	if n := len(h.answers); n > 0 {
		highest = max(highest, h.answers[n-1].version) // so that the last of those that ended before is the highest of them
	}
	h.answers, h.lastAnswer = append(h.answers, answer{highest, now}), now
}

// Expire forgets an operation whose operator waits no more.
func (h *History) Expire(id uint64) { delete(h.pending, id) }

// Confirmed reports whether a write has been confirmed since a time.
func (h *History) Confirmed(since time.Duration) bool { return h.lastWrite > since }

// Watch breaks where operators were not answered for too long.
func (h *History) CheckAvailability(now, maxUnavailability time.Duration) {
	if now-h.lastAnswer > maxUnavailability && now > settleTime {
		h.fail(ErrUnavailable, "%v: no operator was answered for %v", now, now-h.lastAnswer)
	}
}

func (h *History) fail(kind error, format string, args ...any) {
	if h.Broken == nil {
		h.Broken = fmt.Errorf("%w: %s", kind, fmt.Sprintf(format, args...))
	}
}
