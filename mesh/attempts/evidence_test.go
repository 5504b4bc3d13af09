package attempts

import "testing"

// Checks the evidence for all kinds of outcomes and responses. A retry is safe only after NeverExecuted and RejectedByServer, so these must
// result only from an outcome, or a response with the request's id, that proves them.
func TestEvidence(t *testing.T) {
	ok := Response{Success: true, MatchesRequest: true, Postmarked: true}
	failure := Response{MatchesRequest: true}
	denial := Response{MatchesRequest: true, NotDelivered: true}
	for _, c := range []struct {
		name                         string
		outcome                      Outcome
		response                     Response
		fromServer, fromHop, toQuery Evidence
		answered                     bool
	}{
		{"success", Executed, ok, Succeeded, Succeeded, Succeeded, true},
		{"failure", Executed, failure, Failed, Failed, Failed, true},
		{"success without postmark", Executed, Response{Success: true, MatchesRequest: true}, Inconclusive, Inconclusive, Inconclusive, true},
		{"success without the request's id", Executed, Response{Success: true, Postmarked: true}, Inconclusive, Succeeded, Succeeded, true},
		{"not delivered, without the request's id", Executed, Response{NotDelivered: true}, Inconclusive, Failed, Failed, true},
		{"rejected", Rejected, denial, RejectedByServer, RejectedByServer, RejectedByServer, true},
		{"not received", NotReceived, Response{}, Inconclusive, NeverExecuted, Inconclusive, false},
		{"barred", Barred, Response{}, Inconclusive, Inconclusive, NeverExecuted, true},
		{"indeterminate", Indeterminate, failure, Failed, Inconclusive, Inconclusive, true},
		{"deadline exceeded", DeadlineExceeded, Response{}, Inconclusive, TimedOut, TimedOut, true},
		{"no outcome", "", ok, Succeeded, Inconclusive, Inconclusive, true},
		{"unknown outcome", "new", ok, Succeeded, Inconclusive, Inconclusive, true},
	} {
		if got := FromServer(c.response); got != c.fromServer {
			t.Errorf("%s: from the server %v, want %v", c.name, got, c.fromServer)
		}
		if got := FromLastHop(c.outcome, c.response); got != c.fromHop {
			t.Errorf("%s: from the last hop %v, want %v", c.name, got, c.fromHop)
		}
		if got, answered := FromQuery(c.outcome, c.response); got != c.toQuery || answered != c.answered {
			t.Errorf("%s: from a query %v, %v, want %v, %v", c.name, got, answered, c.toQuery, c.answered)
		}
	}
}
