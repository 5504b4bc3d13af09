package core

import (
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"firplank/balance"
)

// Attempt is one attempt of a request at a server. Its methods are safe for concurrent use.
type Attempt struct {
	Endpoint *Endpoint
	Message  *Message
	Deadline time.Time // when it has to be abandoned
	State    any       // for use by the backend only

	request  balance.RequestID
	number   int
	sentAt   float64 // by the loop's clock
	answered atomic.Bool
	phase    atomic.Uint32 // running, cancelled or ended
	end      func(*Attempt)
	written  func(*Attempt)
	result   Result
	latency  float64
	recorded bool // the loop has received its end and owns result and latency from then on
}

// The phases of an attempt, in order.
const (
	running = iota
	cancelled
	ended
)

// NewAttempt returns an attempt without an exchange, whose result is passed to done; for tests of backends.
func NewAttempt(e *Endpoint, m *Message, deadline time.Time, done func(Result)) *Attempt {
	return &Attempt{Endpoint: e, Message: m, Deadline: deadline, end: func(a *Attempt) { done(a.result) }}
}

// Obsolete reports whether the attempt may not be sent any more, because its request has its final answer, its server is
// closed, or its deadline has passed.
func (a *Attempt) Obsolete() bool {
	return a.answered.Load() || a.Endpoint.Closed() || !time.Now().Before(a.Deadline)
}

// Number returns the index of the attempt among those of its request.
func (a *Attempt) Number() int { return a.number }

// SetAnswered marks that the request has its final answer.
func (a *Attempt) SetAnswered() { a.answered.Store(true) }

// Written reports that the attempt's last byte was sent. For a streamed body it may block until the exchange receives the
// event.
func (a *Attempt) Written() {
	if a.written != nil {
		a.written(a)
	}
}

// TryCancel marks the attempt as cancelled. It reports false if the attempt has ended or was cancelled before.
func (a *Attempt) TryCancel() bool { return a.phase.CompareAndSwap(running, cancelled) }

// End ends the attempt; only the first call has an effect. It may block until the exchange receives the event. The answer
// of a cancelled attempt is not forwarded if it is still being received, because its backend aborts it.
func (a *Attempt) End(r Result) {
	previousPhase := a.phase.Swap(ended)
	if previousPhase == ended {
		return
	}
	if previousPhase == cancelled && r.Answer != nil && r.Answer.Stream != nil {
		r.Answer.Stream.CloseRead(errCancelled)
		r = Result{Outcome: balance.Cancelled}
	}
	a.result = r
	a.end(a)
}

var errCancelled = errors.New("the attempt was cancelled")

// startAttempt carries out balance.Send. An attempt that is not possible any more ends at once as NotSent.
func (l *Loop) startAttempt(action *balance.Action) {
	r, e := l.requests[action.Request], l.byID[action.Server]
	if r == nil {
		return
	}
	deadline := min(r.deadline, l.now+float64(MaxUpload/time.Millisecond))
	if action.At > 0 {
		deadline = min(deadline, action.At)
	}
	a := &Attempt{
		Endpoint: e,
		Message:  &r.call.Message,
		Deadline: l.timeAt(deadline),
		request:  r.id,
		number:   len(r.attempts),
		sentAt:   l.now,
		end:      l.attemptEnded,
		written:  l.attemptWritten,
	}
	l.checkAttempt(r, a)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	l.record.sent(e, l.now)
	if e != nil {
		e.inFlight++
	}
	if r.answered || e == nil || len(r.attempts) > l.cfg.Balance.MaxAttempts {
		a.phase.Store(ended)
		a.result.Outcome = balance.NotSent
		l.ownEvents = append(l.ownEvents, a)
		return
	}
	e.backend.Begin(a)
}

// attemptEnded sends the end of an attempt to the loop. It is called from the backend's goroutines.
func (l *Loop) attemptEnded(a *Attempt) {
	a.latency = l.millisAt(time.Now()) - a.sentAt
	l.post(a)
}

// attemptWritten counts an attempt that was written completely. It is called from the backend's goroutines.
func (l *Loop) attemptWritten(a *Attempt) {
	l.cfg.Counts.AttemptSent()
	if a.Message.Stream != nil {
		l.post(uploadComplete{a})
	}
}

// endAttempt records the end of an attempt. The first successful answer is sent to the client.
func (l *Loop) endAttempt(a *Attempt) {
	r := l.requests[a.request]
	r.inFlight--
	l.cfg.Counts.AttemptEnded(reportOutcomes[a.result.Outcome], a.number > 0)
	l.record.ended(a)
	l.observeAttempt(a)
	if a.Endpoint != nil {
		a.Endpoint.inFlight--
	}
	body := a.Message.Stream
	bodyConsumed := body != nil && body.Consumed()
	answer := a.result.Answer
	if a.result.Outcome == balance.OK {
		if r.answered && answer != nil && answer.Stream != nil {
			answer.Stream.CloseRead(errAnswered)
		}
		if answer != nil && answer.Stream != nil && a.Endpoint != nil {
			a.Endpoint.trackStream(answer.Stream)
		}
		l.finish(r, answer)
	} else if answer != nil {
		r.serverAnswer = answer
	}
	outcome := balance.Outcome{
		Request:      r.id,
		Attempt:      a.number,
		Result:       a.result.Outcome,
		Latency:      a.latency,
		Finished:     r.answered,
		Report:       a.result.Report,
		BodyConsumed: bodyConsumed,
		NotDelivered: a.result.NotDelivered,
	}
	if a.Endpoint != nil {
		outcome.Server = a.Endpoint.id
	}
	l.notify(outcome)
	l.forget(r)
}
