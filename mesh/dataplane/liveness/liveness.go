// Package liveness collects a sidecar's own evidence about other sidecars, from the probes of its failure detector
// (package membership, a variant of SWIM) and from responses to requests. The evidence is reported to the control
// machines, and unreachable sidecars are not sent requests. The caller provides the sockets and the clock. Start
// reading at Monitor.Tick.
package liveness

import (
	"sync"
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/directory"
	"firplank/mesh/membership"
	"firplank/mesh/wire"
)

// Monitor monitors the sidecars of a directory. Only RecordReachable is safe for concurrent use.
type Monitor struct {
	detector *membership.Detector
	revision uint64 // of the directory from which the detector's members were set

	mu        sync.Mutex
	reachable map[string]struct{} // addresses of sidecars that responded since the last Tick; bounded by the endpoints in use
}

// Result tells the caller of a Monitor what to do.
type Result struct {
	// Probes are messages to send.
	Probes []membership.Message
	// EvidenceChanged reports that the result of MarkLost may have changed.
	EvidenceChanged bool
	// ReportDue reports that the result of Unreachable must be sent to the parent.
	ReportDue bool
}

// New returns the monitor of a sidecar. The seed determines the order of its probes.
func New(node string, seed uint64) *Monitor {
	return &Monitor{detector: membership.New(node, seed, membership.DefaultConfig()), reachable: map[string]struct{}{}}
}

// RecordReachable records that the sidecar at an address has responded to a request. It is safe for concurrent use.
func (m *Monitor) RecordReachable(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reachable[addr] = struct{}{}
}

// Tick applies the directory and the recorded responses, and advances the detector to now. The caller calls it
// several times a second.
func (m *Monitor) Tick(now time.Duration, d *directory.Directory) Result {
	if revision := d.Revision(); revision != m.revision {
		m.revision = revision
		m.setMembers(now, d)
	}
	confirmed := m.confirmReachable(now, d)
	probes, changed := m.detector.Tick(now)
	return Result{Probes: probes, EvidenceChanged: confirmed || changed, ReportDue: changed}
}

// setMembers makes the detector probe the sidecars of the directory, except those that the directory has as lost.
func (m *Monitor) setMembers(now time.Duration, d *directory.Directory) {
	var names []string
	for _, e := range d.All() {
		if !e.Lost {
			names = append(names, e.Node)
		}
	}
	m.detector.SetMembers(now, names)
}

// confirmReachable passes the recorded responses to the detector if it has any suspects.
func (m *Monitor) confirmReachable(now time.Duration, d *directory.Directory) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer clear(m.reachable)
	if len(m.reachable) == 0 || !m.detector.HasSuspects() {
		return false
	}
	for _, e := range d.All() {
		if _, ok := m.reachable[e.Addr]; ok && m.detector.RecordContact(now, e.Node) {
			changed = true
		}
	}
	return changed
}

// RecordContact records that a sidecar has responded on a connection.
func (m *Monitor) RecordContact(now time.Duration, node string) Result {
	return Result{EvidenceChanged: m.detector.RecordContact(now, node)}
}

// Handle applies a message from another sidecar's detector.
func (m *Monitor) Handle(now time.Duration, message membership.Message) Result {
	probes, changed := m.detector.Handle(now, message)
	return Result{Probes: probes, EvidenceChanged: changed}
}

// Unreachable returns the entries of the sidecars that the detector considers lost and the directory does not, marked
// as lost. The control machines combine them with evidence of other sidecars and their own.
func (m *Monitor) Unreachable(now time.Duration, d *directory.Directory) (entries []*wire.EntryT) {
	for _, e := range d.All() {
		if m.detector.Lost(e.Node) && !e.Lost {
			e.Lost = true
			entries = append(entries, codec.EntryToWire(&e, now))
		}
	}
	return entries
}

// MarkLost returns the entries, with those marked as lost that the detector considers lost. If these are more than half
// of a service, none of that service is marked, because then a fault of this sidecar or its network is more likely. It
// does not change its argument.
func (m *Monitor) MarkLost(entries []directory.Entry) []directory.Entry {
	lost, members := map[string]int{}, map[string]int{}
	for i := range entries {
		members[entries[i].Service]++
		if m.detector.Lost(entries[i].Node) {
			lost[entries[i].Service]++
		}
	}
	if len(lost) == 0 {
		return entries
	}
	marked := make([]directory.Entry, len(entries))
	copy(marked, entries)
	for i := range marked {
		if service := marked[i].Service; 2*lost[service] <= members[service] && m.detector.Lost(marked[i].Node) {
			marked[i].Lost = true
		}
	}
	return marked
}
