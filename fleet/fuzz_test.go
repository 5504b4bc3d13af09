package fleet

import (
	"bytes"
	"testing"
	"time"
)

// newExchangedPair returns two nodes that have exchanged datagrams for some rounds, and these datagrams.
func newExchangedPair(t testing.TB) (a, b *Node, last [][]byte) {
	make := func(i int) *Node {
		n, err := New(Config{Number: i, Members: 2,
			Incarnation: NewIncarnation(time.UnixMilli(1_800_000_000_000), uint64(i+1)), Seed: 1, Cells: 3, MaxRate: 100})
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	a, b = make(0), make(1)
	for round := range 8 {
		now := time.Duration(round+1) * time.Second
		for i, n := range []*Node{a, b} {
			for _, action := range n.Handle(now, Tick{Counters: []Counters{{Received: uint64(10 * round)}, {}, {Received: 1}}}) {
				if action.Kind == Send {
					last = append(last, bytes.Clone(action.Data))
					other := []*Node{b, a}[i]
					other.Handle(now, Datagram{From: i, Data: last[len(last)-1]})
				}
			}
		}
	}
	return a, b, last
}

// Arbitrary input from the socket must neither crash a node nor make it send oversized datagrams.
func FuzzDatagram(f *testing.F) {
	_, _, seeds := newExchangedPair(f)
	for _, s := range seeds {
		f.Add(s)
	}
	f.Add([]byte("fl\x01"))
	f.Add(bytes.Repeat([]byte{0xff}, MaxDatagramSize))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, _, _ := newExchangedPair(t)
		a.Handle(20*time.Second, Datagram{From: 1, Data: data})
		for _, action := range a.Handle(21*time.Second, Tick{}) {
			if len(action.Data) > MaxDatagramSize {
				t.Fatalf("a datagram of %d bytes", len(action.Data))
			}
		}
		a.Sums()
		a.View()
	})
}

// Two members must have each other's counters, and a bound on the age of them, within seconds.
func TestTwoMembersKnowEachOther(t *testing.T) {
	a, b, _ := newExchangedPair(t)
	for _, n := range []*Node{a, b} {
		s := n.Sums()
		if s.Unbounded > 0 || s.Cells[0][Received] < 120 || s.Cells[2][Received] != 2 || s.Age > 3*time.Second {
			t.Errorf("%+v", s)
		}
		for _, v := range n.View() {
			if v.Reachability != Reachable {
				t.Errorf("%+v", v)
			}
		}
	}
	if a.Drops() != (Dropped{Stale: a.Drops().Stale}) {
		t.Errorf("dropped %+v", a.Drops())
	}
}

// The largest update must fit a datagram and decode to the same value.
func TestLargestUpdateRoundTrip(t *testing.T) {
	p := history{horizon: 1 << 62}
	for i := range p.folded {
		p.folded[i] = maxCount
	}
	for i := range maxFormerIncarnations {
		p.entries = append(p.entries, historyEntry{1<<62 + Incarnation(10-i), 1<<32 - 1, p.folded})
	}
	u := update{member: 16383, topic: 2000, inc: 1<<63 - 1, version: 1<<32 - 1, value: p.append(nil)}
	h := header{members: 1 << 14, from: 3, to: 16383, inc: 1<<63 - 1, seq: 7}
	b, ok := appendUpdate(h.append(nil), &u)
	if !ok || len(b) > MaxDatagramSize || len(u.value) > maxValueSize {
		t.Fatalf("%v, %d bytes, value %d", ok, len(b), len(u.value))
	}
	got, err := parse(b, 1<<14, 2049)
	if err != nil || len(got.updates) != 1 || !bytes.Equal(got.updates[0].value, u.value) || got.updates[0].inc != u.inc ||
		got.updates[0].version != u.version {
		t.Fatalf("%+v, %v", got, err)
	}
	decoded, ok := decodeHistory(got.updates[0].value)
	if !ok || decoded.total() != p.total() || decoded.horizon != p.horizon {
		t.Errorf("%+v", decoded)
	}
}
