// Package exchanges reconciles a sidecar's exchanges with the wanted configuration and directory. An exchange balances
// the requests to one service over the service's endpoints. The package is generic over the type of the exchange, so
// that tests can run it with a simple one. Start reading at Set.Reconcile.
package exchanges

import (
	"time"

	"firplank/mesh/directory"
)

// Set is the set of a sidecar's exchanges. It is not safe for concurrent use.
type Set[E any] struct {
	create func(service string) E
	update func(exchange E, entries []directory.Entry, now time.Duration)

	exchanges   map[string]E // by service; those of removed services remain, as they may have requests in flight
	revision    uint64       // of the directory that was applied last
	invalidated bool         // an update is needed even if the directory is unchanged
}

// New returns an empty set. create returns a new exchange for a service. update replaces the endpoints of an exchange.
func New[E any](create func(service string) E, update func(exchange E, entries []directory.Entry, now time.Duration)) *Set[E] {
	return &Set[E]{create: create, update: update, exchanges: map[string]E{}}
}

// GetOrCreate returns the exchanges of services, by name. It creates those that are missing. The next Reconcile sets
// their endpoints.
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

// Get returns the exchange of a service. ok is false if there is none.
func (s *Set[E]) Get(service string) (exchange E, ok bool) {
	exchange, ok = s.exchanges[service]
	return exchange, ok
}

// Invalidate makes the next Reconcile update all exchanges. The caller calls it when the endpoints have changed for
// another reason than a new directory revision.
func (s *Set[E]) Invalidate() { s.invalidated = true }

// Reconcile updates all exchanges if the revision of the directory has changed since the last call or the set was
// invalidated. Otherwise it does nothing. It calls entries at most once.
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
