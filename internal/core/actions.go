package core

import (
	"container/heap"
	"fmt"
	"runtime/debug"

	"firplank/balance"
)

// notify passes an event to the balancer and carries out its actions.
func (l *Loop) notify(ev balance.Event) {
	actions, err := l.decide(ev)
	if err != nil {
		l.log.Error("decision module", "event", fmt.Sprintf("%T", ev), "error", err)
	}
	l.perform(actions)
}

// decide calls the balancer. A panic there is returned as an error and does not end the sidecar: requests still fail at
// their deadlines.
func (l *Loop) decide(ev balance.Event) (actions []balance.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	return l.balancer.Handle(l.now, ev)
}

// perform carries out the balancer's actions in order.
func (l *Loop) perform(actions []balance.Action) {
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case balance.Send:
			l.startAttempt(a)
		case balance.Refuse:
			l.endUnserved(a, l.refusal(a.At))
		case balance.Fail:
			l.endUnserved(a, l.failure(a))
		case balance.Cancel:
			l.cancelAttempt(a)
		case balance.SetTimer:
			heap.Push(&l.timers, &timer{at: l.now + a.At, token: a.Token})
		case balance.Probe:
			l.probe(a.Server)
		case balance.CloseIdle:
			if e := l.byID[a.Server]; e != nil {
				e.backend.CloseIdle(e)
			}
		case balance.Log:
			l.log.Info(a.Text)
		default: // SendMessage, Subscribe and FetchList, which the balancer does not return in an exchange
			l.log.Warn("action not carried out", "kind", a.Kind)
		}
	}
}

// endUnserved carries out balance.Refuse and balance.Fail.
func (l *Loop) endUnserved(action *balance.Action, a *Answer) {
	l.record.endedUnserved(action)
	r := l.requests[action.Request]
	if r != nil {
		r.cause = action.Cause
	}
	l.finish(r, a)
}

// cancelAttempt carries out balance.Cancel.
func (l *Loop) cancelAttempt(action *balance.Action) {
	r := l.requests[action.Request]
	if r == nil || action.Attempt >= len(r.attempts) {
		return
	}
	if a := r.attempts[action.Attempt]; a.TryCancel() {
		a.Endpoint.backend.Cancel(a)
	}
}
