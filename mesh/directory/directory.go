// Package directory is the membership list of the mesh: which sidecars exist, at which addresses, and the state of the local server of
// each. Entries are ordered by incarnation and sequence number, so that replicas that have merged the same announcements in any order hold
// the same entries (a last-writer-wins map with one writer per entry). The package also decides when a machine that was not seen for too
// long counts as lost, and when a lost machine is revived. It has no clock and no socket: times are arguments, measured from the start of
// the process.
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

// MaxEntries is the maximum number of machines in a directory. Announcements of further machines are rejected.
const MaxEntries = 8192

// revivalMargin is how much later than the last time a lost machine was seen it has to be seen again to be revived. The same message,
// relayed by another process, appears to be later by its transit time.
const revivalMargin = 400 * time.Millisecond

// Directory holds the newest entry of each machine. It is not safe for concurrent use.
type Directory struct {
	entries  map[string]*Entry
	revision uint64
}

// New returns an empty directory.
func New() *Directory { return &Directory{entries: map[string]*Entry{}} }

// Merge adds or updates an entry whose sidecar is known to have been alive at lastSeen. An entry that is not newer than the stored one
// only updates LastSeen, and only if the incarnation is the same. Merge reports whether subscribers have to be updated.
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

// ApplyUpdate merges an entry received from the process that this one subscribes to. Unlike Merge, it takes the Lost state from the
// publisher. It reports whether subscribers have to be updated.
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

// RecordRolloutReport records what a machine's sidecar reported about rollouts at reportedAt. The report is ignored if it is of another
// incarnation than the entry, or if a later one is stored.
func (d *Directory) RecordRolloutReport(node string, incarnation uint64, reportedAt time.Duration, report RolloutReport) {
	e := d.entries[node]
	if e == nil || e.Incarnation != incarnation || reportedAt < e.rolloutReportedAt {
		return
	}
	e.RolloutReport, e.rolloutReportedAt = report, reportedAt
}

// MarkAlive records that a machine's sidecar was alive at lastSeen. The call is ignored if the incarnation is not that of the entry. It
// reports whether the machine was lost until now.
func (d *Directory) MarkAlive(node string, incarnation uint64, lastSeen time.Duration) bool {
	e := d.entries[node]
	return e != nil && e.Incarnation == incarnation && d.revive(e, lastSeen)
}

// revive advances an entry's LastSeen, and reports whether the entry was lost until now. A lost entry is revived only if lastSeen is later
// by more than revivalMargin.
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

// Expire marks machines as lost that were not seen for longer than timeout, and removes those that were not seen for longer than
// retention. It reports whether anything changed.
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

// MarkLost marks a machine as lost that other processes reported as lost, unless this process has seen it within minSilence or its entry
// has another incarnation. It reports whether the entry changed.
func (d *Directory) MarkLost(node string, incarnation uint64, now, minSilence time.Duration) bool {
	e := d.entries[node]
	if e == nil || e.Incarnation != incarnation || e.Lost || now-e.LastSeen <= minSilence {
		return false
	}
	e.Lost = true
	d.markChanged(e)
	return true
}

// Revision identifies the directory's current content. It rises with each change except the removal of an entry.
func (d *Directory) Revision() uint64 { return d.revision }

// ChangedSince returns copies of the entries that have changed after a revision, ordered by node name. Removals are not reported, as every
// directory expires entries on its own.
func (d *Directory) ChangedSince(revision uint64) []Entry {
	var changed []Entry
	for _, node := range slices.Sorted(maps.Keys(d.entries)) {
		if e := d.entries[node]; e.revision > revision {
			changed = append(changed, *e)
		}
	}
	return changed
}

// All returns copies of all entries, ordered by node name.
func (d *Directory) All() []Entry { return d.ChangedSince(0) }

// Get returns a copy of a node's entry; ok is false if there is none.
func (d *Directory) Get(node string) (e Entry, ok bool) {
	if found := d.entries[node]; found != nil {
		return *found, true
	}
	return Entry{}, false
}

// Len returns the number of entries.
func (d *Directory) Len() int { return len(d.entries) }

// Hash returns a hash that is equal for two directories that hold the same announcement of each node. Lost and LastSeen are not included.
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
