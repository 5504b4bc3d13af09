package core

import (
	"time"

	"firplank/balance"
	"firplank/internal/roster"
)

// event is an input of the loop: a submitted *Call, an *Attempt that has ended, or one of the types below.
type event interface{ isEvent() }

type (
	// clientDisconnected reports that the client of a call has disconnected.
	clientDisconnected struct{ call *Call }
	// probeEnded reports the end of a probe.
	probeEnded struct {
		endpoint *Endpoint
		result   Result
		latency  float64
	}
	// listUpdate is an update of the server list.
	listUpdate struct{ list *roster.List }
	// listFailure reports that the server list could not be read.
	listFailure struct{ err error }
	// listValidity limits the use of the list: it is not used from until to lapsed. Zero times: no limit.
	listValidity struct{ until, lapsed time.Time }
	// inspection is a function to run on the loop's goroutine.
	inspection struct{ run func(now time.Duration) }
	// uploadComplete reports that the streamed body of an attempt was sent completely.
	uploadComplete struct{ attempt *Attempt }
	// shutdown limits all deadlines to a time.
	shutdown struct{ at time.Time }
	// classAdded adds a class of requests.
	classAdded struct{ class balance.Class }
)

func (*Call) isEvent()              {}
func (*Attempt) isEvent()           {}
func (clientDisconnected) isEvent() {}
func (probeEnded) isEvent()         {}
func (listUpdate) isEvent()         {}
func (listFailure) isEvent()        {}
func (listValidity) isEvent()       {}
func (inspection) isEvent()         {}
func (uploadComplete) isEvent()     {}
func (shutdown) isEvent()           {}
func (classAdded) isEvent()         {}

// Submit submits a call. Its client gets one answer unless the exchange ends before.
func (l *Loop) Submit(c *Call) { l.post(c) }

// Disconnect reports that the client of a call has disconnected. If the call has no answer yet, it still gets one, because
// the client may have closed only its sending side.
func (l *Loop) Disconnect(c *Call) { l.post(clientDisconnected{c}) }

// Listed sends an update of the server list to the loop. With ListFailed and Valid it implements roster.Events.
func (l *Loop) Listed(list *roster.List) { l.post(listUpdate{list}) }

// ListFailed reports that the server list could not be read.
func (l *Loop) ListFailed(err error) { l.post(listFailure{err}) }

// Valid limits the use of the present server list: from until to lapsed nothing is sent to its servers, unless a later call
// changes these times. Zero times: there is no limit.
func (l *Loop) Valid(until, lapsed time.Time) { l.post(listValidity{until, lapsed}) }

// Shutdown limits the deadline of every open and later call. A call without an answer by then is refused if nothing can
// have been executed, and fails otherwise.
func (l *Loop) Shutdown(deadline time.Time) { l.post(shutdown{deadline}) }

// AddClass adds a class of requests. Its number is the previous number of classes.
func (l *Loop) AddClass(c balance.Class) { l.post(classAdded{c}) }

// Inspect calls do on the exchange's goroutine, with the time since the exchange started. It does not wait for the call.
func (l *Loop) Inspect(do func(now time.Duration)) { l.post(inspection{do}) }

// post sends an event to the loop; after the end of the loop it does nothing.
func (l *Loop) post(ev event) {
	select {
	case l.inbox <- ev:
	case <-l.ctx.Done():
	}
}

// handle handles one event.
func (l *Loop) handle(ev event) {
	switch ev := ev.(type) {
	case *Call:
		l.cfg.Shedder.RecordQueueDelay(time.Since(ev.Received))
		l.beginRequest(ev)
	case clientDisconnected:
		l.onClientDisconnected(ev.call)
	case *Attempt:
		l.endAttempt(ev)
	case uploadComplete:
		l.startDeadline(ev.attempt)
	case probeEnded:
		l.notify(balance.ProbeResult{
			Server:  ev.endpoint.id,
			Result:  ev.result.Outcome,
			Latency: ev.latency,
			Report:  ev.result.Report,
		})
	case shutdown:
		l.limitDeadlines(ev.at)
	case classAdded:
		l.balancer.AddClass(ev.class)
	case inspection:
		ev.run(l.elapsed())
	case listUpdate:
		l.onListUpdate(ev.list)
	case listFailure:
		l.log.Info("list of servers", "error", ev.err)
		l.record.listFailed()
	case listValidity:
		l.validity = ev
	}
}

// onClientDisconnected ends the open request of a call: as refused if there was no attempt, otherwise as failed.
func (l *Loop) onClientDisconnected(c *Call) {
	r := l.byCall[c]
	if r == nil || r.answered {
		return
	}
	a := failed(ClientGone, "the client has ended its sending")
	if len(r.attempts) == 0 {
		a = Refusal(0)
	}
	l.finish(r, a)
	l.notify(balance.ClientDisconnected{Request: r.id})
}

// onListUpdate applies an update of the server list.
func (l *Loop) onListUpdate(list *roster.List) {
	l.listCount++
	l.record.listed(len(list.Members))
	kind := balance.ListDelta
	if list.Complete {
		kind = balance.ListFull
	}
	l.applyList(list, kind)
}
