package codec

import (
	"testing"

	"firplank/mesh/register"
	"firplank/mesh/wire"
)

// A history is encoded and decoded with all its records. A value of a release without histories is decoded with a history
// whose floor is the value's version.
func TestHistoryRoundTrip(t *testing.T) {
	var h register.History
	for version := range uint32(register.MaxRecords + 5) {
		h = h.With(register.Record{Version: version + 1, Content: register.ContentOf([]byte{byte(version)})})
	}
	state := &register.State{Value: register.Value{Version: 9, Body: []byte("x"), History: h}}
	decoded, err := wire.DecodeState(wire.EncodeState(StateToWire(state)))
	if err != nil {
		t.Fatal(err)
	}
	if got := StateFromWire(decoded).Value.History; !got.Equal(h) {
		t.Errorf("decoded %d records above floor %d, want %d above %d", len(got.Records), got.Floor, len(h.Records), h.Floor)
	}
	old := valueFromWire(&wire.ValueT{Version: 7})
	if old.History.Floor != 7 {
		t.Errorf("a value of version 7 without a history has floor %d, want 7", old.History.Floor)
	}
}
