// Package directory is the membership list of the mesh: which sidecars exist, at which addresses, and the state of the local server of
// each. Entries are ordered by incarnation and sequence number, so that replicas that have merged the same announcements in any order hold
// the same entries (a last-writer-wins map with one writer an entry). It also decides when a machine counts as lost for want of
// signs of life, and when a lost one is revived. It has no clock and no socket: times are arguments, measured from the start of the
// process.
//
// Start reading at Directory.Merge.
package directory

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"
)

// MaxEntries bounds the machines in a directory; announcements of more are refused.
const MaxEntries = 8192

// revivalMargin is by how much evidence of life has to be later than the latest one of a lost machine to revive it. The same evidence,
// relayed by another process, appears later by the time that it spent under way.
const revivalMargin = 400 * time.Millisecond

// Directory holds the newest entry of each machine. It is not safe for concurrent use.
type Directory struct {
	entries  map[string]*Entry
	revision uint64
}

// New returns an empty directory.
func New() *Directory { return &Directory{entries: map[string]*Entry{}} }

// Merge adds or updates an entry whose sidecar is known to have been alive at lastSeen. An entry that is not newer than the present one
// counts as evidence of life only, and only in the same incarnation. It reports whether subscribers have to be updated.
func (d *Directory) Merge(e Entry, lastSeen time.Duration) bool {
	old := d.entries[e.Node]
	switch {
	case old == nil:
		if len(d.entries) >= MaxEntries {
			return false
		}
	case !e.Newer(old):
		return e.Incarnation == old.Incarnation && d.revive(old, lastSeen)
	default:
		lastSeen = max(lastSeen, old.LastSeen)
		e.RolloutReport = RolloutReport{}
		if e.Incarnation == old.Incarnation {
			e.RolloutReport, e.rolloutReportedAt = old.RolloutReport, old.rolloutReportedAt
		}
	}
	e.LastSeen, e.Lost = lastSeen, false
	d.entries[e.Node] = &e
	d.markChanged(&e)
	return true
}

// ApplyUpdate merges an entry from the process that this one subscribes to. Unlike Merge it follows the publisher's judgement on whether
// the machine is lost. It reports whether subscribers have to be updated.
func (d *Directory) ApplyUpdate(e Entry, now time.Duration) bool {
	old := d.entries[e.Node]
	if old == nil || e.Newer(old) {
		lost := e.Lost
		if !d.Merge(e, now) {
			return false
		}
		d.entries[e.Node].Lost = lost
		return true
	}
	old.LastSeen = now
	if old.Newer(&e) || e.Lost == old.Lost {
		return false
	}
	old.Lost = e.Lost
	d.markChanged(old)
	return true
}

// RecordEvidence records what a machine's sidecar reported of rollouts at a time. It is of no account where a later incarnation, or a later
// report, is known.
func (d *Directory) RecordRolloutReport(node string, incarnation uint64, receivedAt time.Duration, report RolloutReport) {
	e := d.entries[node]
	if e == nil || e.Incarnation != incarnation || receivedAt < e.rolloutReportedAt {
		return
	}
	e.RolloutReport, e.rolloutReportedAt = report, receivedAt
}

// MarkAlive records that a machine's sidecar was alive at lastSeen; evidence of another incarnation is ignored. It reports whether the
// machine counted as lost until now.
func (d *Directory) MarkAlive(node string, incarnation uint64, lastSeen time.Duration) bool {
	e := d.entries[node]
	return e != nil && e.Incarnation == incarnation && d.revive(e, lastSeen)
}

// revive advances an entry's LastSeen. It reports whether the entry was lost; a lost one is revived by clearly later evidence only.
func (d *Directory) revive(e *Entry, lastSeen time.Duration) bool {
	if lastSeen <= e.LastSeen || e.Lost && lastSeen <= e.LastSeen+revivalMargin {
		return false
	}
	e.LastSeen = lastSeen
	if !e.Lost {
		return false
	}
	e.Lost = false
	d.markChanged(e)
	return true
}

func (d *Directory) markChanged(e *Entry) {
	d.revision++
	e.revision = d.revision
}

// Expire marks machines as lost that were not seen for longer than timeout, and removes those not seen for longer than retention. It
// reports whether anything changed.
func (d *Directory) Expire(now, timeout, retention time.Duration) (changed bool) {
	for node, e := range d.entries {
		switch sinceLastSeen := now - e.LastSeen; {
		case sinceLastSeen > retention:
			delete(d.entries, node)
			changed = true
		case sinceLastSeen > timeout && !e.Lost:
			e.Lost = true
			d.markChanged(e)
			changed = true
		}
	}
	return changed
}

// MarkLost marks a machine as lost on the evidence of others, unless it was seen here within minSilence or has another incarnation. It
// reports whether that is a change.
func (d *Directory) MarkLost(node string, incarnation uint64, now, minSilence time.Duration) bool {
	e := d.entries[node]
	if e == nil || e.Incarnation != incarnation || e.Lost || now-e.LastSeen <= minSilence {
		return false
	}
	e.Lost = true
	d.markChanged(e)
	return true
}

// Revision identifies the directory's present content: it is higher after each change, but for the removal of an entry.
func (d *Directory) Revision() uint64 { return d.revision }

// ChangedSince returns copies of the entries that have changed after a revision, in the order of their nodes' names. Removals are not
// among them: every directory removes entries by itself.
func (d *Directory) ChangedSince(revision uint64) []Entry {
	var changed []Entry
	for _, node := range slices.Sorted(maps.Keys(d.entries)) {
		if e := d.entries[node]; e.revision > revision {
			changed = append(changed, *e)
		}
	}
	return changed
}

// All returns copies of all entries, in the order of their nodes' names.
func (d *Directory) All() []Entry { return d.ChangedSince(0) }

// Get returns a copy of a node's entry; ok is false where there is none.
func (d *Directory) Get(node string) (e Entry, ok bool) {
	if found := d.entries[node]; found != nil {
		return *found, true
	}
	return Entry{}, false
}

// Len returns the number of entries.
func (d *Directory) Len() int { return len(d.entries) }

// Hash is equal for two directories that hold the same announcement of each node. Lost and LastSeen do not count.
func (d *Directory) Hash() uint64 {
	var sum uint64
	for _, e := range d.entries {
		h := fnv.New64a()
		_, _ = h.Write([]byte(e.Node)) // hash.Hash never returns an error
		_, _ = h.Write(strconv.AppendUint(nil, e.Incarnation, 16))
		_, _ = h.Write([]byte{'.'})
		_, _ = h.Write(strconv.AppendUint(nil, e.Sequence, 16))
		sum += h.Sum64()
	}
	return sum
}
