package balance

import (
	"math"
	"sort"
)

// server is the state of one listed server.
type server struct {
	Server // its entry in the list

	// Rotation.
	currentWeight float64 // current weight of smooth weighted round robin, in units of a turn
	seeded        bool    // currentWeight has its random start value
	seededCold    bool    // currentWeight got its start value during slow start
	share         float64 // the server's part of the fleet's capacity, in units of weight
	weight        float64 // effective weight in the present pick; 0: not eligible
	loadKnown     bool    // in the present pick: a fresh report is known, or no server has one

	// Learned sizes, which are multiplied.
	size       size
	kind, zone *size

	// This sidecar's traffic.
	inFlight   int     // attempts
	load       float64 // sum over the attempts in flight of one over their latency target
	conns      int     // estimate of open connections: the recent maximum of concurrent attempts
	lastSentAt float64 // when the last attempt was sent; +Inf: no connection is open

	// Errors and ejection.
	consecutiveErrors int
	lastErrorAt       float64
	ejectedUntil      float64 // 0: not ejected
	ejections         int     // consecutive ejections
	connectFailures   int     // consecutive connect failures
	probeUnanswered   bool    // the last probe got no answer
	byClass           []classHealth

	// Slow start.
	warmUpStart     float64
	slowStartTokens float64 // attempts available in the token bucket
	tokensUpdatedAt float64

	// Load reports.
	probing         bool    // a probe is in flight
	reportedPending float64 // requests pending at the last report
	reportedAt      float64 // 0: never
	sentSinceReport float64 // this sidecar's attempts since
}

// rating returns the server's size as listed; 1 if the list does not have it.
func (s *server) rating() float64 {
	if s.Rating > 0 {
		return s.Rating
	}
	return 1
}

// clearErrors resets the error counts and ends an ejection.
func (s *server) clearErrors() {
	s.consecutiveErrors, s.connectFailures = 0, 0
	s.ejections, s.ejectedUntil = 0, 0
	s.probeUnanswered = false
}

// sizeOf returns the size of a kind or zone; a new one has factor 1.
func sizeOf(sizes map[int]*size, key int) *size {
	if sizes[key] == nil {
		sizes[key] = &size{factor: 1}
	}
	return sizes[key]
}

// serverTable holds the listed servers.
type serverTable struct {
	servers []*server // in order of ID
	byID    map[ServerID]*server
}

// server returns the server of a list entry. If it is new, it is added, with state for the number of classes.
func (t *serverTable) server(entry *Server, classes int) *server {
	s := t.byID[entry.ID]
	if s == nil {
		s = &server{size: size{factor: 1}, warmUpStart: math.Inf(-1), lastSentAt: math.Inf(1)}
		s.byClass = make([]classHealth, classes)
		for c := range s.byClass {
			s.byClass[c].recordedAt = math.Inf(-1)
		}
		t.byID[entry.ID] = s
		t.servers = append(t.servers, s)
	}
	return s
}

// markUnlisted marks servers that a complete list does not contain as gone.
func (t *serverTable) markUnlisted(entries []Server) {
	listed := make(map[ServerID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, s := range t.servers {
		if !listed[s.ID] {
			s.State = Gone
		}
	}
}

// removeGone removes the servers that are gone and sorts the others by ID.
func (t *serverTable) removeGone() {
	present := t.servers[:0]
	for _, s := range t.servers {
		if s.State != Gone {
			present = append(present, s)
		} else {
			delete(t.byID, s.ID)
		}
	}
	t.servers = present
	sort.Slice(present, func(i, j int) bool { return present[i].ID < present[j].ID })
}

// openLoad returns the load in flight: the sum over attempts of one over their latency target. Attempts at ejected
// servers, which may hang, do not count.
func (t *serverTable) openLoad() float64 {
	load := 0.0
	for _, s := range t.servers {
		if s.ejectedUntil == 0 {
			load += s.load
		}
	}
	return load
}
