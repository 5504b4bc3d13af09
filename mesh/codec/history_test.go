package codec

import (
	"testing"

	"firplank/mesh/configversion"
	"firplank/mesh/dissemination"
	"firplank/mesh/register"
	"firplank/mesh/wire"
)

// A history is encoded and decoded with all its records. A value of a release without histories is decoded with a history
// whose floor is the value's version.
func TestHistoryRoundTrip(t *testing.T) {
	var h register.History
	for version := range configversion.Version(register.MaxRecords + 5) {
		h = h.With(register.Record{Version: version + 1, Content: register.ContentOf([]byte{byte(version)})})
	}
	state := &register.State{Value: register.Value{Version: 9, Body: []byte("x"), History: h}}
	decoded, err := wire.DecodeState(wire.EncodeState(StateToWire(state)))
	if err != nil {
		t.Fatal(err)
	}
	if got := StateFromWire(decoded).Value.History; !got.Equal(h) {
		t.Errorf("decoded %d records above floor %v, want %d above %v", len(got.Records), got.Floor, len(h.Records), h.Floor)
	}
	old := valueFromWire(&wire.ValueT{Version: new(uint32(7))})
	if old.History.Floor != configversion.Of(7) {
		t.Errorf("a value of version 7 without a history has floor %v, want 00000007", old.History.Floor)
	}
}

// Guards against versions that are lost on the wire or on disk because their number is 0: a message, a state and an acknowledgement of
// 00000000 keep it, and those without a configuration do not get one.
func TestLowestVersionIsNotAbsence(t *testing.T) {
	lowest := configversion.Of(0)
	history := register.History{}.With(register.Record{Version: lowest, Content: register.ContentOf([]byte("x"))})
	for _, value := range []register.Value{
		{Version: lowest, Body: []byte("x"), History: history},
		{Version: configversion.Of(1), History: register.History{Floor: lowest, Records: []register.Record{{Version: configversion.Of(1)}}}},
		{},
	} {
		decoded, err := wire.DecodeState(wire.EncodeState(StateToWire(&register.State{Value: value})))
		if err != nil {
			t.Fatal(err)
		}
		got := StateFromWire(decoded).Value
		if got.Version != value.Version || !got.History.Equal(value.History) {
			t.Errorf("stored %v above %v, read %v above %v", value.Version, value.History.Floor, got.Version, got.History.Floor)
		}
	}
	for _, ack := range []dissemination.Ack{{Version: lowest, LowestInForce: lowest}, {Version: lowest}, {}} {
		f, err := wire.Decode(wire.Encode(SetAck(&wire.FrameT{Kind: wire.Report}, ack))[wire.LengthSize:])
		if err != nil {
			t.Fatal(err)
		}
		if got := AckFromFrame(f); got != ack {
			t.Errorf("acknowledged %+v, received %+v", ack, got)
		}
	}
}
