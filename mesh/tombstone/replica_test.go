package tombstone

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"firplank/mesh/timing"
)

var durations = timing.Default().Tombstones

// member returns a complete replica that is a member with b and c, and has written what it appended.
func member(self string, onDisk ...Aged) *Replica {
	r := New(self, true, onDisk, 100, durations)
	r.Handle(0, MembershipChanged{Members: []string{"a", "b", "c"}})
	return r
}

func of(server string) Tombstone { return Tombstone{Node: "n1", Server: server} }

// sent returns the messages of a kind to a machine.
func sent(out Output, kind Kind, to string) (found []Message) {
	for _, m := range out.Messages {
		if m.Kind == kind && m.To == to {
			found = append(found, m)
		}
	}
	return found
}

// Guards against an acknowledgement of what is on one disk: a tombstone is durable once a majority has it on disk, this machine's disk
// included only after its sync.
func TestTombstoneIsDurableOnAMajorityOfDisks(t *testing.T) {
	for _, c := range []struct {
		name     string
		synced   bool
		storedBy []string
		want     bool
	}{
		{"nowhere", false, nil, false},
		{"on this disk alone", true, nil, false},
		{"on one other disk alone", false, []string{"b"}, false},
		{"on this disk and a stand-by", true, []string{"d"}, false},
		{"on this disk and another", true, []string{"b"}, true},
		{"on both other disks", false, []string{"b", "c"}, true},
	} {
		r := member("a")
		out := r.Handle(0, RecordRequested{ID: 7, Tombstone: of("i1")})
		if out.Append == nil || len(out.Append.Tombstones) != 1 || len(out.Recorded) > 0 {
			t.Fatalf("%s: %+v", c.name, out)
		}
		var recorded []uint64
		id := sent(out, Store, "b")[0].ID
		for _, from := range c.storedBy {
			m := sent(out, Store, from)
			if len(m) > 0 {
				id = m[0].ID
			}
			recorded = append(recorded, r.Handle(0, MessageReceived{Message{Kind: Stored, From: from, ID: id}}).Recorded...)
		}
		if c.synced {
			recorded = append(recorded, r.Handle(0, Synced{Number: out.Append.Number}).Recorded...)
		}
		if got := slices.Equal(recorded, []uint64{7}); got != c.want {
			t.Errorf("%s: recorded %v", c.name, recorded)
		}
	}
}

// A machine confirms that it has stored tombstones once they are on its disk, and at once if they were.
func TestStoredIsSentAfterTheSync(t *testing.T) {
	r := member("b")
	store := MessageReceived{Message{Kind: Store, From: "a", ID: 5, Tombstones: []Aged{{Tombstone: of("i1")}}}}
	out := r.Handle(0, store)
	if out.Append == nil || len(out.Messages) > 0 {
		t.Fatalf("before the sync: %+v", out)
	}
	if out = r.Handle(0, Synced{Number: out.Append.Number}); len(sent(out, Stored, "a")) != 1 {
		t.Errorf("after the sync: %+v", out)
	}
	if out = r.Handle(0, store); out.Append != nil || len(sent(out, Stored, "a")) != 1 {
		t.Errorf("the same again: %+v", out)
	}
}

// Many servers that shut down while a disk syncs share messages and writes: what waits is sent in one message.
func TestResentTombstonesShareOneMessage(t *testing.T) {
	r := member("a")
	for i := range 300 {
		r.Handle(0, RecordRequested{ID: uint64(i), Tombstone: of(fmt.Sprint("i", i))})
	}
	out := r.Handle(durations.ResendInterval, Tick{})
	resent := sent(out, Store, "b")
	if len(resent) != 1 || len(resent[0].Tombstones) != 300 {
		t.Fatalf("%d messages to b", len(resent))
	}
	r.Handle(durations.ResendInterval, MessageReceived{Message{Kind: Stored, From: "b", ID: resent[0].ID}})
	out = r.Handle(durations.ResendInterval, Synced{Number: 300})
	if len(out.Recorded) != 300 {
		t.Errorf("%d are recorded", len(out.Recorded))
	}
	if out = r.Handle(time.Hour, Tick{}); len(out.Messages) > 0 {
		t.Errorf("sends %d messages afterwards", len(out.Messages))
	}
}

// A request that no majority answers ends, without an answer and without further messages.
func TestUnansweredRequestsEnd(t *testing.T) {
	r := member("a")
	r.Handle(0, RecordRequested{ID: 1, Tombstone: of("i1")})
	r.Handle(0, FetchRequested{ID: 2, Node: "n1"})
	out := r.Handle(durations.CallTimeout, Tick{})
	if len(out.Messages) > 0 || len(out.Recorded) > 0 || len(out.Fetched) > 0 {
		t.Errorf("%+v", out)
	}
}

// Replies of incomplete machines do not count in a read, and an answer has the tombstones of all replies.
func TestReadCountsCompleteMachines(t *testing.T) {
	r := member("a", Aged{Tombstone: of("i1")})
	out := r.Handle(0, FetchRequested{ID: 2, Node: "n1"})
	read := sent(out, Read, "b")
	if len(read) != 1 || !slices.Equal(read[0].Nodes, []string{"n1"}) {
		t.Fatalf("%+v", out.Messages)
	}
	reply := Message{Kind: ReadReply, From: "b", ID: read[0].ID, Tombstones: []Aged{{Tombstone: of("i2")}}}
	if out = r.Handle(0, MessageReceived{reply}); len(out.Fetched) > 0 {
		t.Error("an incomplete machine's reply counts")
	}
	reply.From, reply.Complete, reply.Tombstones = "c", true, nil
	out = r.Handle(0, MessageReceived{reply})
	if len(out.Fetched) != 1 || out.Fetched[0].ID != 2 || fmt.Sprint(out.Fetched[0].Servers) != "[i1 i2]" {
		t.Errorf("fetched %+v", out.Fetched)
	}
}

// A machine that is no member may miss tombstones. Once it is a member, it reads those of the others before its replies count.
func TestNewMemberIsIncompleteUntilItHasRead(t *testing.T) {
	r := New("d", true, nil, 100, durations)
	out := r.Handle(0, MembershipChanged{Members: []string{"a", "b", "c"}})
	if r.Complete() || out.Append == nil || out.Append.Mark != MarkIncomplete {
		t.Fatalf("a stand-by: %+v", out)
	}
	out = r.Handle(0, MembershipChanged{Members: []string{"b", "c", "d"}, PriorMembers: []string{"a", "b", "c"}})
	id := sent(out, Read, "b")[0].ID
	for i, from := range []string{"b", "c"} {
		reply := Message{Kind: ReadReply, From: from, ID: id, Complete: true, Tombstones: []Aged{{Tombstone: of(from)}}}
		out = r.Handle(0, MessageReceived{reply})
		if r.Complete() != (i == 1) {
			t.Errorf("after %d replies complete is %v", i+1, r.Complete())
		}
	}
	if out.Append == nil || out.Append.Mark != MarkComplete || r.Len() != 2 {
		t.Errorf("%+v, %d tombstones", out.Append, r.Len())
	}
}

// Replicas whose digests differ in successive hellos are repaired.
func TestDifferentReplicasAreRepaired(t *testing.T) {
	a, b := member("a", Aged{Tombstone: of("i1")}), member("b")
	if a.Digest(0) == b.Digest(0) || a.Digest(0) == 0 || b.Digest(0) == 0 {
		t.Fatalf("digests %x and %x", a.Digest(0), b.Digest(0))
	}
	if out := a.Handle(0, DigestReceived{From: "b", Digest: b.Digest(0)}); len(out.Messages) > 0 {
		t.Error("sends its set after one hello")
	}
	repair := sent(a.Handle(time.Second, DigestReceived{From: "b", Digest: b.Digest(0)}), Store, "b")
	if len(repair) != 1 {
		t.Fatal("sends no set")
	}
	b.Handle(time.Second, MessageReceived{repair[0]})
	if a.Digest(2*time.Second) != b.Digest(2*time.Second) {
		t.Error("the digests differ after the repair")
	}
}

// Tombstones expire, unless they are requested again; those from the disk are kept for a while, whatever the clock says.
func TestTombstonesExpire(t *testing.T) {
	r := member("a", Aged{of("old"), time.Hour}, Aged{of("i1"), 0}, Aged{of("i2"), 0})
	if r.Len() != 3 {
		t.Fatalf("%d tombstones", r.Len())
	}
	out := r.Handle(durations.RefreshAge, RecordRequested{ID: 1, Tombstone: of("i2")})
	if out.Append == nil || len(out.Append.Tombstones) != 1 {
		t.Errorf("a tombstone that is requested again is not stored again: %+v", out)
	}
	r.Handle(durations.Retention+durations.ExpiryInterval, Tick{})
	if r.Len() != 1 {
		t.Errorf("%d tombstones, want the one that was requested again", r.Len())
	}
}

// Beyond the bound, requests are not answered, and nothing that is kept is dropped for them.
func TestTombstonesAreBounded(t *testing.T) {
	r := member("a")
	var all []Aged
	for i := range MaxTombstones {
		all = append(all, Aged{Tombstone: of(fmt.Sprint("i", i))})
	}
	out := r.Handle(0, MessageReceived{Message{Kind: Store, From: "b", ID: 1, Tombstones: all}})
	r.Handle(0, Synced{Number: out.Append.Number})
	store := Message{Kind: Store, From: "b", ID: 2, Tombstones: []Aged{{Tombstone: of("one more")}}}
	if out = r.Handle(0, MessageReceived{store}); len(out.Messages) > 0 || out.Append != nil {
		t.Errorf("%+v", out)
	}
	if out = r.Handle(0, RecordRequested{ID: 3, Tombstone: of("one more")}); len(out.Messages) > 0 || r.Len() != MaxTombstones {
		t.Errorf("%+v, %d tombstones", out, r.Len())
	}
}
