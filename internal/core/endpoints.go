package core

import (
	"time"

	"firplank/balance"
	"firplank/internal/roster"
)

// phaseReady and phaseGone are phases of a roster.Member, as the page of the server list defines them.
const (
	phaseReady = "ready"
	phaseGone  = "gone"
)

// probe carries out balance.Probe.
func (l *Loop) probe(id balance.ServerID) {
	e := l.byID[id]
	if e == nil || e.Closed() {
		return
	}
	sentAt := l.now
	e.backend.Probe(e, func(r Result) {
		l.post(probeEnded{endpoint: e, result: r, latency: l.millisAt(time.Now()) - sentAt})
	})
}

// applyList applies a server list to the endpoints and passes it to the balancer.
func (l *Loop) applyList(update *roster.List, kind balance.ListKind) {
	list := balance.ServerList{Kind: kind, ZonePreference: update.ZonePreference}
	listed := map[string]bool{}
	for i := range update.Members {
		m := &update.Members[i]
		listed[m.ID] = true
		e := l.endpoint(m)
		list.Servers = append(list.Servers, l.listEntry(e))
		if e.Closed() && !l.fenced {
			l.closeEndpoint(e)
		}
		if m.Phase == phaseGone {
			l.removeEndpoint(e)
		}
	}
	if kind != balance.ListDelta {
		l.removeUnlisted(listed)
	}
	l.updateReady()
	l.notify(list)
}

// removeUnlisted removes the endpoints that a complete list does not contain.
func (l *Loop) removeUnlisted(listed map[string]bool) {
	for name, e := range l.endpoints {
		if !listed[name] {
			l.closeEndpoint(e)
			l.cancelAttemptsAt(e)
			l.removeEndpoint(e)
		}
	}
}

// endpoint returns the endpoint of a list entry, which may be new or at a new address.
func (l *Loop) endpoint(m *roster.Member) *Endpoint {
	e := l.endpoints[m.ID]
	if e == nil {
		l.lastServerID++
		e = &Endpoint{id: l.lastServerID, name: m.ID, backend: l.cfg.Backend(m.Flavor)}
		l.endpoints[m.ID], l.byID[e.id] = e, e
		l.recordListed(m.ID)
	}
	addr := m.HostPort // a pointer into the list would keep the whole list in memory
	e.addr.Store(&addr)
	e.member = *m
	_, excluded := l.excluded[m.ID]
	e.closed.Store(m.Phase != phaseReady || excluded || l.fenced)
	return e
}

// listEntry returns the balancer's entry of a server. A closed server that is listed as ready is draining to the balancer.
func (l *Loop) listEntry(e *Endpoint) balance.Server {
	m := &e.member
	s := balance.Server{
		ID:              e.id,
		State:           m.State(),
		StartedAt:       max(0, m.UpSince),
		Rating:          m.Size,
		PathIncarnation: m.PathIncarnation,
		Candidate:       m.Candidate,
		Cell:            m.Cell,
		Zone:            indexOf(l.cfg.Zones, m.Locality),
		Kind:            indexOf(l.cfg.Kinds, m.Flavor),
	}
	if s.State == balance.Ready && e.Closed() {
		s.State = balance.Draining
	}
	return s
}

// closeEndpoint prevents new attempts at an endpoint and closes its idle connections.
func (l *Loop) closeEndpoint(e *Endpoint) {
	e.Close()
	e.backend.CloseIdle(e)
}

// StreamsAtClosed returns the number of answers that are still being received from closed servers. It is for use within
// Inspect.
func (l *Loop) StreamsAtClosed() (streams int) {
	for _, e := range l.endpoints {
		if e.Closed() {
			streams += int(e.streams.Load())
		}
	}
	return streams
}

// InFlightAtClosed returns the number of attempts in flight at closed servers, without those whose answers are already
// being received. It is for use within Inspect.
func (l *Loop) InFlightAtClosed() (attempts int) {
	for _, r := range l.requests {
		for _, a := range r.attempts {
			if a.Endpoint != nil && a.Endpoint.Closed() && !a.recorded {
				attempts++
			}
		}
	}
	return attempts
}

// cancelAttemptsAt cancels the attempts of idempotent requests at a server that is not listed any more, if
// Config.CancelAtUnlisted is set.
func (l *Loop) cancelAttemptsAt(e *Endpoint) {
	if !l.cfg.CancelAtUnlisted {
		return
	}
	cancelled := 0
	for _, r := range l.requests {
		if r.answered || !r.call.Message.Safe {
			continue
		}
		for _, a := range r.attempts {
			if a.Endpoint == e && a.TryCancel() {
				e.backend.Cancel(a)
				cancelled++
			}
		}
	}
	if cancelled > 0 {
		l.log.Info("attempts cancelled: their server is gone", "server", e.name, "attempts", cancelled)
	}
}

// removeEndpoint removes an endpoint from the indexes. Attempts in flight keep their own reference to it.
func (l *Loop) removeEndpoint(e *Endpoint) {
	delete(l.endpoints, e.name)
	delete(l.byID, e.id)
}

// indexOf returns the number of a name; all names that the settings do not contain share the next number.
func indexOf(known map[string]int, name string) int {
	if index, ok := known[name]; ok {
		return index
	}
	return len(known)
}
