package timing

import "time"

// Tombstones is the timing of the records of servers that have begun to shut down (package tombstone). It implements the rule DRAIN: an
// acknowledged shutdown binds whatever processes and machines are lost later.
type Tombstones struct {
	// CallTimeout is how long a server's call waits until its tombstone is durable: 700 ms, which leaves the response 300 ms of the second
	// after which a server treats its call as failed.
	CallTimeout time.Duration
	// ResendInterval is how long a request or a message waits for its reply before it is sent again: a round trip, a sync and the time
	// until two processes run, so that several fit into CallTimeout.
	ResendInterval time.Duration
	// MaxResendInterval is what the interval grows to while a sidecar's request is not answered: eight times ResendInterval.
	MaxResendInterval time.Duration
	// Retention is how long a tombstone is kept after it was requested last. It exceeds by far the seconds by which a heartbeat may be late,
	// and the tombstone of a server that still sends heartbeats is refreshed.
	Retention time.Duration
	// RefreshAge is the age from which a tombstone that is requested again is stored again: a quarter of Retention.
	RefreshAge time.Duration
	// ExpiryInterval is how often expired tombstones are dropped.
	ExpiryInterval time.Duration
	// MinRetentionAfterStart is how long a process keeps a tombstone from its disk at least, whatever the clock says about its age.
	MinRetentionAfterStart time.Duration
}

func newTombstones(e Environment) Tombstones {
	const (
		retention       = 10 * time.Minute
		maxResendFactor = 8
	)
	resend := e.RoundTrip + e.DiskSync + 2*e.Scheduling
	return Tombstones{
		CallTimeout:            700 * time.Millisecond,
		ResendInterval:         resend,
		MaxResendInterval:      maxResendFactor * resend,
		Retention:              retention,
		RefreshAge:             retention / 4,
		ExpiryInterval:         retention / 20,
		MinRetentionAfterStart: retention / 4,
	}
}
