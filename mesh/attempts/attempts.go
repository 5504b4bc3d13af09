// Package attempts is the last hop's log of attempts that must not run twice. A sending sidecar whose connection has failed queries the log
// for the outcome of its attempt, and acts on the evidence in the reply. An attempt that has not started is barred from starting before the
// query is answered, so that the sender can safely retry the request elsewhere. The package has no clock, no goroutine and no socket.
//
// Senders number their attempts, so that a Log can evict them in order: for each sender it keeps the highest number that it has evicted,
// the sender's floor. An attempt at or below the floor is rejected when it arrives, and its status is unknown. Eviction therefore never
// reports an attempt that ran as not started, and never admits one that was barred.
//
// docs/design/control-safety-5.md has the correctness argument, and lab/explore/calls checks it. Start reading at Log.
package attempts

import "time"

// Bounds of a Log.
const (
	MaxAttempts       = 4096             // logged attempts
	Retention         = 60 * time.Second // how long an attempt is logged
	MaxSenders        = 2 * MaxAttempts  // senders with a floor
	BarRetention      = 10 * time.Minute // least retention of the floor of a sender with a barred attempt
	MaxResponseBytes  = 64 << 10         // size of one cached response
	MaxCachedBytes    = 2 << 20          // total size of all cached responses
	ResponseRetention = 10 * time.Second // how long a response is cached
	MaxWaitingQueries = 4                // queries that wait for the end of one attempt
)

// ID identifies an attempt. Sender and Number together are unique.
type ID struct {
	Sender      string // the sending sidecar's node and incarnation
	Number      uint64 // increases with each attempt of the sender, from 1
	Incarnation uint64 // incarnation of the last hop that it was sent to; 0: not known to the sender
}

// Verdict is a Log's decision on an attempt that arrives.
type Verdict uint8

// The verdicts. Only an Admitted attempt may start.
const (
	Admitted         Verdict = iota
	AlreadyBarred            // a query has returned that it had not started
	Duplicate                // it has already started
	TooOld                   // its number is at or below its sender's floor
	WrongIncarnation         // it was sent to another incarnation of this last hop
	LogFull                  // there is no room for another sender
)

// Status is a Log's reply to a query about an attempt.
type Status uint8

// The statuses.
const (
	Unknown    Status = iota // it may have run
	NotStarted               // it has not started, and never will at this last hop
	Running                  // it is running, and the query waits for its end
	Finished                 // it has ended, and its response is cached
	Discarded                // it has ended, and its response is not cached
)

// String returns the name of a status, for tests and logs.
func (s Status) String() string {
	return [...]string{"unknown", "not-started", "running", "finished", "discarded"}[min(s, Discarded)]
}
