package wire

import (
	"bytes"
	"encoding/binary"
	"runtime"
	"testing"
)

// fullFrame has something in each vector.
func fullFrame() *FrameT {
	value := &ValueT{
		Version: new(uint32(3)), Body: []byte("body"), Members: []string{"a:1", "b:1"}, PriorMembers: []string{"c:1"},
		Records: make([]byte, 20), Floor: new(uint32(1)),
	}
	ballot := &BallotT{Number: 9, Proposer: "a:1"}
	return &FrameT{
		Kind: Update, Id: 7, From: "node-1", Ballot: ballot, Promised: ballot, Accepted: ballot, Value: value,
		Incarnations: []*IncarnationT{{Node: "b:1", Number: 2}},
		Entries:      []*EntryT{{Node: "n1", Addr: "1.2.3.4:5", PeerAddr: "1.2.3.4:6", Zone: "z", Service: "s", ServerId: "i-1"}, {Node: "n2"}},
		Machines:     []*MachineT{{Addr: "a:1", Zone: "z", Accepted: ballot}},
		Deltas:       []*DeltaT{{Base: 2, Version: 3, Bytes: []byte("delta")}},
		Text:         "text",
	}
}

// allocated returns how many bytes a call allocates.
func allocated(do func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Bytes that come from the network, of which one is altered, make nobody allocate more than they justify: a length in them proves nothing.
func TestDecodingAllocatesInProportion(t *testing.T) {
	const most = 4 << 20
	frame := EncodeDatagram(fullFrame())
	state := EncodeState(&StateT{
		Promised: &BallotT{Number: 1}, Value: fullFrame().Value, Incarnations: fullFrame().Incarnations, Incarnation: 4, Voter: true,
	})
	for _, c := range []struct {
		name   string
		bytes  []byte
		decode func([]byte)
	}{
		{"frame", frame, func(b []byte) { _, _ = Decode(b) }},
		{"state", state, func(b []byte) { _, _ = DecodeState(b) }},
	} {
		for i := range c.bytes {
			for _, altered := range []byte{0, 1, 0x10, 0x7f, 0x80, 0xff} {
				b := bytes.Clone(c.bytes)
				b[i] = altered
				if n := allocated(func() { c.decode(b) }); n > most {
					t.Fatalf("%s of %d bytes, byte %d as %#x: %d bytes are allocated", c.name, len(b), i, altered, n)
				}
			}
		}
	}
}

// Tables that share what they point to are refused where decoding would copy it many times.
func TestSharedStringsAreBounded(t *testing.T) {
	f := &FrameT{Kind: Update}
	for range 4000 {
		f.Entries = append(f.Entries, &EntryT{Node: "n", Zone: "z"})
	}
	long := bytes.Repeat([]byte("x"), 1<<20)
	f.From = string(long) // which the format puts behind the entries
	table := EncodeDatagram(f)
	if _, err := Decode(table); err != nil {
		t.Fatalf("an honest frame is refused: %v", err)
	}
	shared := shareString(t, table, long)
	var err error
	if n := allocated(func() { _, err = Decode(shared) }); err == nil || n > 64<<20 {
		t.Errorf("%v, and %d bytes are allocated", err, n)
	}
}

// shareString has the zone of each entry of a table point to the one long string.
func shareString(t *testing.T, table, long []byte) []byte {
	t.Helper()
	shared := bytes.Clone(table)
	at := bytes.Index(shared, long) - 4 // its length is ahead of it
	root := GetRootAsFrame(shared, 0)
	var e Entry
	for j := range root.EntriesLength() {
		if !root.Entries(&e, j) {
			t.Fatal("no entry")
		}
		const zoneField = 14 // offset of the field in the vtable
		field := int(e._tab.Pos) + int(e._tab.Offset(zoneField))
		distance := at - field
		if distance <= 0 {
			t.Fatal("the string lies ahead of the entries, which an offset can't point to")
		}
		binary.LittleEndian.PutUint32(shared[field:], uint32(distance))
	}
	return shared
}

// Whatever the bytes are, decoding neither panics nor allocates out of proportion.
func FuzzDecode(f *testing.F) {
	f.Add(EncodeDatagram(fullFrame()))
	f.Add(EncodeDatagram(&FrameT{Kind: Probe, From: "n1", Id: 4}))
	f.Add(EncodeState(&StateT{Promised: &BallotT{Number: 1}, Value: fullFrame().Value}))
	f.Fuzz(func(t *testing.T, table []byte) {
		most := uint64(2 * (budgetFactor*len(table) + budgetBase))
		if n := allocated(func() { _, _ = Decode(table); _, _ = DecodeState(table) }); n > most {
			t.Errorf("%d bytes are allocated for %d", n, len(table))
		}
	})
}
