// Package invariant checks, in the running program, the promises that must never be broken: a violated one is counted,
// logged with what explains it, and fails a test. A check costs little enough to be always on, and shares no code with
// what it checks.
//
// A part of the program is given a Reporter. Monitor is the one of a process; tests make theirs with a function that
// fails the test. docs/design/invariants.md lists each invariant with its check and the rule that it stands for.
//
// Start reading at Name and Monitor.
package invariant

// Name names an invariant, in logs and metrics.
type Name string

// The invariants of a request, at the sidecar that took it from a client.
const (
	// NotResentAfterPossibleStart: a request that must not run twice is not sent again while or after an attempt may
	// have run (rule TWICE).
	NotResentAfterPossibleStart Name = "not_resent_after_possible_start"
	// RefusedNeverStarted: a request that must not run twice is refused, which promises that it has not run, only
	// where no attempt may have run (rule REFUSED).
	RefusedNeverStarted Name = "refused_never_started"
	// AttemptsWithinLimit: a request does not reach more servers than its route's attempts (rule BUDGET).
	AttemptsWithinLimit Name = "attempts_within_limit"
	// DeadlineNotExtended: no attempt has more time than its request has left (rule BUDGET).
	DeadlineNotExtended Name = "deadline_not_extended"
	// AnsweredByDeadline: each request has its answer when its deadline passes (rule CONFIG).
	AnsweredByDeadline Name = "answered_by_deadline"
)

// The invariants of a server's last hop.
const (
	// StartedOnce: a request that must not run twice is handed to the local server once (rule TWICE).
	StartedOnce Name = "started_once"
	// ClosingServerNotSent: a server gets no request after its closing was acknowledged and lastPostS has passed
	// (rule DRAIN).
	ClosingServerNotSent Name = "closing_server_not_sent"
)

// The invariants of a sidecar's configuration.
const (
	// InForceMonotonic: within one process no older version comes in force (rule CONFIG).
	InForceMonotonic Name = "in_force_monotonic"
	// AdoptedVersionMatches: the text that comes in force has the version that it was sent under.
	AdoptedVersionMatches Name = "adopted_version_matches"
)

// The invariants of a control machine.
const (
	// SyncedBeforeSent: a promise or an acceptance leaves the machine after the state that it states is on disk.
	SyncedBeforeSent Name = "synced_before_sent"
	// DiskMonotonic: neither the promised nor the accepted ballot on disk falls.
	DiskMonotonic Name = "disk_monotonic"
	// CommittedMonotonic: the version of the committed value does not fall (rules CONFIG and LOST).
	CommittedMonotonic Name = "committed_monotonic"
	// OneContentPerVersion: a version has one text (rule CONFIG).
	OneContentPerVersion Name = "one_content_per_version"
	// AcknowledgedIsCommitted: an acknowledged change is recorded in the value that a quorum holds (rule LOST).
	AcknowledgedIsCommitted Name = "acknowledged_is_committed"
	// ReadCoversAcknowledged: a read returns no older version than one that this machine has acknowledged before
	// (rule CONFIG).
	ReadCoversAcknowledged Name = "read_covers_acknowledged"
	// OperationsProgress: while a quorum answers a control machine, no operation waits for one for longer than
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
	// Violated reports a violation. The explanation is keys, which are strings, and values in turn, as of a log line.
	Violated(name Name, explanation ...any)
}

// Ignored is a Reporter that ignores violations, for programs that do not check.
type Ignored struct{}

// Violated implements Reporter.
func (Ignored) Violated(Name, ...any) {}

// Func is a Reporter that calls a function, for tests.
type Func func(name Name, explanation ...any)

// Violated implements Reporter.
func (f Func) Violated(name Name, explanation ...any) { f(name, explanation...) }
