// Package invariant checks invariants in the running program. A violation is counted, logged with the values that explain it,
// and fails a test. A check is cheap enough to be always on, and shares no code with what it checks.
//
// Components are given a Reporter. Monitor is the Reporter of a process; tests use a Func that fails the test.
// docs/design/invariants.md lists each invariant with its check and the rule that it belongs to.
//
// Start reading at Name and Monitor.
package invariant

// Name is the name of an invariant in logs and metrics.
type Name string

// The invariants of a request, at the sidecar that received it from a client.
const (
	// NotResentAfterPossibleStart: a request that must not run twice is not sent again while or after an attempt may
	// have run (rule TWICE).
	NotResentAfterPossibleStart Name = "not_resent_after_possible_start"
	// RefusedNeverStarted: a request that must not run twice is refused, which guarantees that it has not run, only
	// if no attempt may have run (rule REFUSED).
	RefusedNeverStarted Name = "refused_never_started"
	// AttemptsWithinLimit: a request is not sent to more servers than its route's limit of attempts (rule BUDGET).
	AttemptsWithinLimit Name = "attempts_within_limit"
	// DeadlineNotExtended: no attempt has a later deadline than its request (rule BUDGET).
	DeadlineNotExtended Name = "deadline_not_extended"
	// AnsweredByDeadline: each request is answered when its deadline passes (rule CONFIG).
	AnsweredByDeadline Name = "answered_by_deadline"
)

// The invariants of a server's last hop.
const (
	// StartedOnce: a request that must not run twice is sent to the local server at most once (rule TWICE).
	StartedOnce Name = "started_once"
	// ClosingServerNotSent: a server is sent no request after its closing was acknowledged and lastPostS has passed
	// (rule DRAIN).
	ClosingServerNotSent Name = "closing_server_not_sent"
)

// The invariants of a sidecar's configuration.
const (
	// InForceMonotonic: within one process the version in force never becomes older (rule CONFIG).
	InForceMonotonic Name = "in_force_monotonic"
	// AdoptedVersionMatches: the text that is put in force has the version that it was sent with.
	AdoptedVersionMatches Name = "adopted_version_matches"
)

// The invariants of a control machine.
const (
	// SyncedBeforeSent: a promise or an acceptance is sent only after the state that it confirms is on disk.
	SyncedBeforeSent Name = "synced_before_sent"
	// DiskMonotonic: neither the promised nor the accepted ballot on disk decreases.
	DiskMonotonic Name = "disk_monotonic"
	// CommittedMonotonic: the version of the committed value does not decrease (rules CONFIG and LOST).
	CommittedMonotonic Name = "committed_monotonic"
	// OneContentPerVersion: a version has only one text (rule CONFIG).
	OneContentPerVersion Name = "one_content_per_version"
	// AcknowledgedIsCommitted: an acknowledged change is contained in the value that a quorum holds (rule LOST).
	AcknowledgedIsCommitted Name = "acknowledged_is_committed"
	// ReadCoversAcknowledged: a read returns no older version than one that this machine has acknowledged before
	// (rule CONFIG).
	ReadCoversAcknowledged Name = "read_covers_acknowledged"
	// OperationsProgress: while a quorum responds to a control machine, no operation waits for a quorum for longer than
	// timing.Operations.MaxWait (rule ACKS).
	OperationsProgress Name = "operations_progress"
	// MembersKnown: a committed value has members.
	MembersKnown Name = "members_known"
)

// All lists the invariants.
func All() []Name {
	return []Name{
		NotResentAfterPossibleStart, RefusedNeverStarted, AttemptsWithinLimit, DeadlineNotExtended, AnsweredByDeadline,
		StartedOnce, ClosingServerNotSent,
		InForceMonotonic, AdoptedVersionMatches,
		SyncedBeforeSent, DiskMonotonic, CommittedMonotonic, OneContentPerVersion, AcknowledgedIsCommitted,
		ReadCoversAcknowledged, OperationsProgress, MembersKnown,
	}
}

// Reporter is notified of violated invariants. It is safe for concurrent use and does not block.
type Reporter interface {
	// Violated reports a violation. The explanation alternates keys, which are strings, and values, as in a log line.
	Violated(name Name, explanation ...any)
}

// Ignored is a Reporter that ignores violations, for programs that check no invariants.
type Ignored struct{}

// Violated implements Reporter.
func (Ignored) Violated(Name, ...any) {}

// Func is a Reporter that calls a function, for tests.
type Func func(name Name, explanation ...any)

// Violated implements Reporter.
func (f Func) Violated(name Name, explanation ...any) { f(name, explanation...) }
