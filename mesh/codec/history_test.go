package codec

import (
	"testing"

	"firplank/mesh/register"
	"firplank/mesh/wire"
)

// A history goes over the wire and to disk with all its records; a value that was written before there were histories
// has one that knows nothing of its versions.
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
		t.Errorf("%d records above %d come back of %d above %d", len(got.Records), got.Floor, len(h.Records), h.Floor)
	}
	old := valueFromWire(&wire.ValueT{Version: 7})
	if old.History.Floor != 7 {
		t.Errorf("an old value of version 7 has a floor of %d", old.History.Floor)
	}
}
