package dataplane

import (
	"testing"

	"firplank/mesh/attempts"
)

func TestAttemptIDRoundTrip(t *testing.T) {
	for _, want := range []attempts.ID{{Sender: "branch-a.1.ff", Number: 17, Incarnation: 1 << 60}, {Sender: "n", Number: 1}} {
		if got, ok := parseAttemptID(formatAttemptID(want)); !ok || got != want {
			t.Errorf("%+v, %v: want %+v", got, ok, want)
		}
	}
	for _, text := range []string{"", "a", "a.1", ".1.2", "a.0.2", "a.x.2", "a.1.x", "a.1.", "a.10000000000000000.1"} {
		if id, ok := parseAttemptID(text); ok {
			t.Errorf("%q is parsed as %+v", text, id)
		}
	}
}
