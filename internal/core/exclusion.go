package core

import (
	"time"

	"firplank/balance"
)

// maxEverListed bounds the remembered names of servers that are gone.
const maxEverListed = 4096

// ServerCounts counts the servers of an exchange.
type ServerCounts struct {
	Size      int // servers in the list
	Unhealthy int // of them, those excluded by operators or ejected by the balancer
}

// ServerState is the state of a listed server.
type ServerState struct {
	Name     string
	InFlight int // attempts of this exchange
}

// Servers returns the listed servers, in no particular order. It is for use within Inspect, as are the methods below.
func (l *Loop) Servers() []ServerState {
	all := make([]ServerState, 0, len(l.endpoints))
	for name, e := range l.endpoints {
		all = append(all, ServerState{Name: name, InFlight: e.inFlight})
	}
	return all
}

// CountServers counts the listed servers.
func (l *Loop) CountServers() ServerCounts {
	c := ServerCounts{Size: len(l.endpoints)}
	for name, e := range l.endpoints {
		if _, excluded := l.excluded[name]; excluded || l.balancer.Ejected(e.id, l.now) {
			c.Unhealthy++
		}
	}
	return c
}

// EverListed reports whether a server was ever listed, or is excluded.
func (l *Loop) EverListed(name string) bool {
	_, listed := l.everListed[name]
	_, excluded := l.excluded[name]
	return listed || excluded
}

// recordListed remembers that a server was listed.
func (l *Loop) recordListed(name string) {
	if len(l.everListed) >= maxEverListed+len(l.endpoints) {
		for old := range l.everListed {
			if l.endpoints[old] == nil {
				delete(l.everListed, old)
				break
			}
		}
	}
	l.everListed[name] = struct{}{}
}

// AcceptStaleList makes the exchange ready with the list that it has, in spite of Config.RequireFreshList.
func (l *Loop) AcceptStaleList() {
	l.cfg.RequireFreshList = false
	l.updateReady()
}

// updateReady sets what Ready reports.
func (l *Loop) updateReady() {
	l.ready.Store(len(l.endpoints) > 0 && (l.listCount > 0 || !l.cfg.RequireFreshList))
}

// SetExcluded excludes exactly these servers, each since a time. To the balancer an excluded server is draining: it
// gets nothing new and completes what it has. One that returns counts as just started, unless the list has a later
// start: it may have been restarted, which the list has yet to report.
func (l *Loop) SetExcluded(excluded map[string]time.Time) {
	excludedSince := make(map[string]float64, len(excluded))
	for name, since := range excluded {
		excludedSince[name] = float64(since.UnixMicro()) / 1000
	}
	previous := l.excluded
	l.excluded = excludedSince
	var changed []balance.Server
	for name, e := range l.endpoints {
		since, wasExcluded := previous[name]
		if _, isExcluded := excludedSince[name]; isExcluded == wasExcluded {
			continue
		}
		e.closed.Store(e.member.Phase != phaseReady || !wasExcluded || l.fenced)
		if !wasExcluded {
			l.closeEndpoint(e)
		}
		s := l.listEntry(e)
		if wasExcluded && s.State == balance.Ready && s.StartedAt <= since {
			s.StartedAt = l.now
		}
		changed = append(changed, s)
	}
	if len(changed) > 0 {
		l.notify(balance.ServerList{Kind: balance.ListDelta, Servers: changed})
	}
}
