package standin

// This file handles a server's requests independently of their protocol.

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"firplank/lab/model"
)

// reply is a response to be written.
type reply struct {
	status    int
	header    string
	body      string
	spoil     Spoil
	closeConn bool
}

func (s *Server) answer(c *serverConn, req incoming, more <-chan incoming) *reply {
	if req.URL.Path == "/metrics/load" {
		return s.probe(true)
	}
	h := req.Header
	return s.handle(c, request{
		trace: h.Get("X-Trace-Id"), class: h.Get("X-Qos"), key: h.Get("Idempotency-Key"), timeLeft: parseExpiry(h.Get("X-Expires-In")),
		firstByteAt: req.firstByteAt, probe: req.URL.Path == "/alive",
	}, more)
}

// request is a request independent of its protocol.
type request struct {
	trace, class, key string
	timeLeft          time.Duration
	firstByteAt       time.Duration // when its first byte arrived
	probe             bool
}

// handle returns the reply to a request, or nil if the connection ends without one. A value on more, or its close, means
// that the client gave up the request.
func (s *Server) handle(c *serverConn, req request, more <-chan incoming) *reply {
	if req.probe {
		return s.probe(false)
	}
	trace, key := req.trace, req.key
	class, known := s.cfg.Classes[req.class]
	if trace == "" || !known {
		return &reply{status: http.StatusBadRequest, body: "no trace, or no such class\n"}
	}
	s.cfg.Observer.Received(trace, s.cfg.ID, c.link, req.firstByteAt)
	s.mu.Lock()
	rejecting := s.draining || c.overCap || !s.running
	s.mu.Unlock()
	if rejecting {
		return s.neverRanReply()
	}
	if class.Keyed && key != "" {
		firstEnded := make(chan bool, 1)
		switch class.Cell.claim(s.cfg.Clock(), key, class.Window, firstEnded) {
		case model.KeyDone:
			return s.successReply(trace)
		case model.KeyRunning:
			select {
			case ran := <-firstEnded:
				if ran {
					return s.successReply(trace)
				}
				return &reply{status: http.StatusInternalServerError, body: "the first one broke off\n"}
			case <-more: // closed, or a second request before the first response
				return nil
			}
		}
	} else {
		class.Cell = nil
	}
	return s.runJob(trace, key, class, req.timeLeft, more)
}

// runJob runs a request through the model and returns its reply; nil if it gets none.
func (s *Server) runJob(trace, key string, class ServerClass, left time.Duration, more <-chan incoming) *reply {
	id, j, verdict := s.offerJob(trace, class, left)
	switch verdict {
	case model.Rejected:
		class.Cell.forget(key)
		return s.neverRanReply()
	case model.FellOver:
		class.Cell.forget(key)
		s.tasks.Go(s.Crash)
		return nil
	}
	var end jobEnd
	select {
	case end = <-j.ended:
	case <-more: // the client gave up
		if s.dropQueued(id) {
			class.Cell.forget(key)
			return nil
		}
		end = <-j.ended // a running job continues, and its key is kept
	}
	switch end {
	case jobExpired:
		class.Cell.forget(key)
		return s.neverRanReply()
	case jobInterrupted:
		class.Cell.finish(key, false)
		return nil
	}
	class.Cell.finish(key, true)
	return s.successReply(trace)
}

// offerJob offers a request to the model and registers it if it is accepted.
func (s *Server) offerJob(trace string, class ServerClass, left time.Duration) (id uint64, j *job, verdict model.Verdict) {
	work, wait := class.Work(trace)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Clock()
	s.endJobs(s.model.Advance(now))
	s.lastJob++
	id, j = s.lastJob, &job{trace: trace, ended: make(chan jobEnd, 1)}
	verdict = s.model.Offer(now, model.Job{ID: id, Work: work, Wait: wait, Expires: now + left})
	switch verdict {
	case model.Accepted:
		s.jobs[id] = j
		s.schedule()
	case model.FellOver:
		s.cfg.Observer.PushedOver(s.cfg.ID, now)
	}
	return id, j, verdict
}

// dropQueued removes a queued request. It returns false if the request is already running or has ended.
func (s *Server) dropQueued(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.model.Drop(id) {
		return false
	}
	delete(s.jobs, id)
	return true
}

func (s *Server) neverRanReply() *reply {
	return &reply{status: http.StatusServiceUnavailable, header: "X-Never-Ran: 1\r\n", body: "turned away\n"}
}

// successReply returns the response to a completed request, or an error or corrupted one if such a fault is injected. The first
// word of the body is the request's trace, and a full stop ends it.
func (s *Server) successReply(trace string) *reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.Float64() < s.errors {
		return &reply{status: http.StatusInternalServerError, body: "error\n"}
	}
	r := &reply{status: http.StatusOK, body: trace + " by " + s.cfg.ID + ".\n"}
	if s.spoil.Form != "" && s.random.Float64() < s.spoil.Share {
		r.spoil = s.spoil
	}
	s.cfg.Observer.Finished(trace)
	return r
}

// parseExpiry parses the header with the remaining time; a minute if it is missing or malformed.
func parseExpiry(text string) time.Duration {
	for suffix, unit := range map[string]time.Duration{"m": time.Millisecond, "u": time.Microsecond} {
		if number, ok := strings.CutSuffix(text, suffix); ok {
			if v, err := strconv.ParseFloat(number, 64); err == nil && v >= 0 {
				return time.Duration(v * float64(unit))
			}
		}
	}
	return time.Minute
}
