// Package exchanges reconciles a sidecar's exchanges, one for each service, with the wanted configuration and
// directory. It is generic over the exchange, so that a test can run it between any pair of actual and wanted states.
// Start reading at Set.Reconcile.
package exchanges

import (
	"time"

	"firplank/mesh/directory"
)

// Set is the set of a sidecar's exchanges. It is not safe for concurrent use.
type Set[E any] struct {
	create func(service string) E
	update func(exchange E, entries []directory.Entry, now time.Duration)

	exchanges   map[string]E // by service; those the configuration has no more remain, as they may have requests in flight
	revision    uint64       // of the directory, as the exchanges have it
	invalidated bool         // an update is needed though the directory is the same
}

// New returns an empty set. Create returns a new exchange for a service; update replaces the endpoints of an exchange.
func New[E any](create func(service string) E, update func(exchange E, entries []directory.Entry, now time.Duration)) *Set[E] {
	return &Set[E]{create: create, update: update, exchanges: map[string]E{}}
}

// For returns the exchanges of services, by name. It creates those that are missing, whose endpoints the next
// Reconcile sets.
func (s *Set[E]) GetOrCreate(services []string) map[string]E {
	exchanges := make(map[string]E, len(services))
	for _, name := range services {
		e, ok := s.exchanges[name]
		if !ok {
			e = s.create(name)
			s.exchanges[name], s.invalidated = e, true
		}
		exchanges[name] = e
	}
	return exchanges
}

// Get returns the exchange of a service; ok is false where there is none.
func (s *Set[E]) Get(service string) (exchange E, ok bool) {
	exchange, ok = s.exchanges[service]
	return exchange, ok
}

// Invalidate makes the next Reconcile update all exchanges, because evidence other than the directory has changed.
func (s *Set[E]) Invalidate() { s.invalidated = true }

// Reconcile updates all exchanges with entries, which it calls at most once, if the revision of the directory is
// another than last time or the set was invalidated. Otherwise it does nothing.
func (s *Set[E]) Reconcile(revision uint64, entries func() []directory.Entry, now time.Duration) {
	if revision == s.revision && !s.invalidated {
		return
	}
	s.revision, s.invalidated = revision, false
	allEntries := entries()
	for _, e := range s.exchanges {
		s.update(e, allEntries, now)
	}
}
