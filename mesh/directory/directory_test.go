package directory

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Directories that have merged the same announcements hold the same entries, whatever the order and the number of repetitions.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var announcements []Entry
		for range rapid.IntRange(1, 30).Draw(t, "announcements") {
			announcements = append(announcements, Entry{
				Node:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"),
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				Sequence:    rapid.Uint64Range(1, 5).Draw(t, "sequence"),
			})
		}
		first, second := New(), New()
		for _, e := range announcements {
			first.Merge(e, 0)
		}
		for _, e := range rapid.Permutation(announcements).Draw(t, "order") {
			second.Merge(e, 0)
			second.Merge(e, 0)
		}
		if first.Hash() != second.Hash() {
			t.Fatalf("%v and %v", first.All(), second.All())
		}
	})
}

func TestUnseenMachineIsLostAndRevived(t *testing.T) {
	d := New()
	d.Merge(Entry{Node: "a", Incarnation: 7, Sequence: 1}, 0)
	revision := d.Revision()
	if d.Expire(2*time.Second, 3*time.Second, time.Minute) || !d.Expire(4*time.Second, 3*time.Second, time.Minute) {
		t.Fatal("not lost right after the timeout")
	}
	if all := d.ChangedSince(revision); len(all) != 1 || !all[0].Lost {
		t.Errorf("changed entries: %v", all)
	}
	if d.MarkAlive("a", 6, 5*time.Second) {
		t.Error("a message of an earlier incarnation revives a later one")
	}
	if d.MarkAlive("a", 7, 100*time.Millisecond) || d.Merge(Entry{Node: "a", Incarnation: 7, Sequence: 1}, 50*time.Millisecond) {
		t.Error("revived by an old message that was relayed again")
	}
	if !d.MarkAlive("a", 7, 5*time.Second) || d.All()[0].Lost {
		t.Error("not revived")
	}
	if d.MarkLost("a", 7, 5500*time.Millisecond, time.Second) || !d.MarkLost("a", 7, 7*time.Second, time.Second) {
		t.Error("a report by others counts within the minimum silence, or is ignored after it")
	}
	if !d.Expire(2*time.Minute, 3*time.Second, time.Minute) || d.Len() != 0 {
		t.Error("never removed")
	}
}

func TestUpdateOverridesLostState(t *testing.T) {
	d := New()
	d.ApplyUpdate(Entry{Node: "a", Incarnation: 1, Sequence: 1}, 0)
	if !d.ApplyUpdate(Entry{Node: "a", Incarnation: 1, Sequence: 1, Lost: true}, 0) || !d.All()[0].Lost {
		t.Error("the publisher's Lost state is not applied")
	}
	if d.ApplyUpdate(Entry{Node: "a", Incarnation: 1, Sequence: 0, Lost: false}, 0) {
		t.Error("an older announcement counts as a change")
	}
	if !d.ApplyUpdate(Entry{Node: "a", Incarnation: 2, Sequence: 1}, 0) || d.All()[0].Lost {
		t.Error("a later incarnation stays lost")
	}
}

func TestMergeOfEarlierIncarnationDoesNotRevive(t *testing.T) {
	d := New()
	d.Merge(Entry{Node: "a", Incarnation: 2, Sequence: 1}, 0)
	d.Expire(4*time.Second, 3*time.Second, time.Minute)
	if d.Merge(Entry{Node: "a", Incarnation: 1, Sequence: 9}, 5*time.Second) || !d.All()[0].Lost {
		t.Error("revived by an earlier incarnation")
	}
}

func TestNewerEntryKeepsLatestLastSeen(t *testing.T) {
	d := New()
	d.Merge(Entry{Node: "a", Incarnation: 1, Sequence: 1}, 5*time.Second)
	d.Merge(Entry{Node: "a", Incarnation: 1, Sequence: 2}, 2*time.Second)
	if e, ok := d.Get("a"); !ok || e.Sequence != 2 || e.LastSeen != 5*time.Second {
		t.Errorf("%+v", e)
	}
}

func TestUpdateOfNewEntryKeepsPublishersLostState(t *testing.T) {
	d := New()
	if !d.ApplyUpdate(Entry{Node: "a", Incarnation: 1, Sequence: 1, Lost: true}, 0) || !d.All()[0].Lost {
		t.Error("a machine that the publisher marks as lost is not lost here")
	}
}

func TestFullDirectoryRejectsNewMachines(t *testing.T) {
	d := New()
	for i := range MaxEntries {
		d.Merge(Entry{Node: strconv.Itoa(i), Incarnation: 1}, 0)
	}
	extraEntry := Entry{Node: "one more", Incarnation: 1}
	if d.Merge(extraEntry, 0) || d.ApplyUpdate(extraEntry, 0) || d.Len() != MaxEntries {
		t.Errorf("%d entries", d.Len())
	}
	if !d.Merge(Entry{Node: "7", Incarnation: 2}, 0) {
		t.Error("an update of a known machine is rejected")
	}
}

// A rollout report belongs to one incarnation, the latest report is kept, and reports do not raise the directory's revision.
func TestRolloutReportDoesNotChangeRevision(t *testing.T) {
	d := New()
	d.Merge(Entry{Node: "a", Incarnation: 2, Sequence: 1}, 0)
	revision := d.Revision()
	d.RecordRolloutReport("a", 2, 5*time.Second, RolloutReport{ConfirmedRevision: 7})
	d.RecordRolloutReport("a", 2, 4*time.Second, RolloutReport{ConfirmedRevision: 6})
	d.RecordRolloutReport("a", 1, 6*time.Second, RolloutReport{ConfirmedRevision: 9})
	d.RecordRolloutReport("unknown", 1, 6*time.Second, RolloutReport{ConfirmedRevision: 9})
	if e, _ := d.Get("a"); e.RolloutReport.ConfirmedRevision != 7 || d.Revision() != revision {
		t.Errorf("%+v, revision %d", e.RolloutReport, d.Revision())
	}
	d.Merge(Entry{Node: "a", Incarnation: 2, Sequence: 2}, 0)
	if e, _ := d.Get("a"); e.RolloutReport.ConfirmedRevision != 7 {
		t.Error("a newer announcement discards the rollout report")
	}
	d.Merge(Entry{Node: "a", Incarnation: 3, Sequence: 1}, 0)
	if e, _ := d.Get("a"); e.RolloutReport.ConfirmedRevision != 0 {
		t.Error("a new incarnation keeps the report of the one before")
	}
}
