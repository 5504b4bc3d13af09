package core

import (
	"time"

	"firplank/balance"
)

// maxEverListed is the maximum number of stored names of servers that are gone.
const maxEverListed = 4096

// ServerCounts counts the servers of an exchange.
type ServerCounts struct {
	Size      int // listed servers
	Unhealthy int // listed servers that operators have excluded or the balancer has ejected
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

// recordListed stores that a server was listed. If there are too many names, it removes one of a server that is gone.
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

// AcceptStaleList makes the exchange ready with its present list, in spite of Config.RequireFreshList.
func (l *Loop) AcceptStaleList() {
	l.cfg.RequireFreshList = false
	l.updateReady()
}

// updateReady sets what Ready reports.
func (l *Loop) updateReady() {
	l.ready.Store(len(l.endpoints) > 0 && (l.listCount > 0 || !l.cfg.RequireFreshList))
}

// SetExcluded excludes exactly the given servers, each since a time. To the balancer an excluded server is draining: it gets
// no new attempts and completes those in flight. A server that is no longer excluded counts as just started, because it may
// have been restarted and the list may not report that yet. If the list has a start after the exclusion, that one counts.
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
