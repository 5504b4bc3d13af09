package attempts

// Outcome is the value of the header in which a last hop reports the outcome of a request to the sending sidecar. The values are part of
// the wire format.
type Outcome string

// The outcomes.
const (
	Executed         Outcome = "ran"    // the response is the server's
	NotReceived      Outcome = "unmet"  // the server has not received it
	Rejected         Outcome = "shed"   // the server has rejected it without running it
	Indeterminate    Outcome = "broken" // it may have run
	DeadlineExceeded Outcome = "late"   // it may have run, and its deadline has passed
	Barred           Outcome = "barred" // reply to a query: the attempt has not started, and never will at this last hop
)

// Evidence is what a response proves about an attempt. It holds whatever messages the network loses, delays or duplicates.
type Evidence uint8

// The kinds of evidence.
const (
	Inconclusive     Evidence = iota // it may have run
	Succeeded                        // it ran, with this response
	Failed                           // it ran, with this response, which is a failure
	RejectedByServer                 // a server has received it and has not run it
	NeverExecuted                    // no server has received it or ever will
	TimedOut                         // it may have run, and its deadline has passed
)

// Response holds the properties of a response, besides the outcome, that evidence is derived from.
type Response struct {
	Success        bool // its status is 2xx
	MatchesRequest bool // it carries the id of the pending request
	Postmarked     bool // it has the header that only a server's own successful response has
	NotDelivered   bool // it states that the server has not run the request
}

// FromServer returns the evidence of a server's response. A response without the request's id may belong to another request, whatever its
// contents.
func FromServer(r Response) Evidence {
	switch {
	case !r.MatchesRequest:
		return Inconclusive
	case r.NotDelivered:
		return RejectedByServer
	case r.Success && r.Postmarked:
		return Succeeded
	case r.Success:
		return Inconclusive
	}
	return Failed
}

// FromLastHop returns the evidence of the last hop's response to an attempt.
func FromLastHop(outcome Outcome, r Response) Evidence {
	switch {
	case outcome == NotReceived:
		return NeverExecuted
	case outcome == Rejected:
		return RejectedByServer
	case outcome == DeadlineExceeded:
		return TimedOut
	case outcome == Executed && r.Success && r.Postmarked:
		return Succeeded
	case outcome == Executed && !r.Success:
		return Failed
	}
	return Inconclusive
}

// FromQuery returns the evidence of the last hop's response to a query about an attempt. It also reports whether the query was answered: a
// query that was itself rejected proves nothing about the attempt.
func FromQuery(outcome Outcome, r Response) (evidence Evidence, answered bool) {
	switch outcome {
	case NotReceived:
		return Inconclusive, false
	case Barred:
		return NeverExecuted, true
	}
	return FromLastHop(outcome, r), true
}
