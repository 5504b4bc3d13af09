package operations

import (
	"fmt"

	"github.com/go-faster/errors"

	"firplank/mesh/register"
)

// Why an operation has no outcome. Table.Propose returns the first three for one that was not proposed; those of Table.FailPending and
// ErrTimeout leave open whether it was committed. The client cannot tell these cases apart: it sends the same operation again, to any
// control machine.
var (
	ErrNoQuorum    = errors.New("no majority of the core answers")
	ErrDiskFailing = errors.New("the disk of this control machine fails")
	ErrQueueFull   = errors.New("too much waits for the disk of this control machine")
	ErrTimeout     = errors.New("operation timed out")
)

// ErrRolloutUnderWay reports that a rollout of the service to another version stands in the way of an order, which has no effect.
var ErrRolloutUnderWay = errors.New("a rollout of the service to another version is under way")

// VersionTakenError reports that a version was committed with another content before. The write is never in force under that version; the
// client has to send it under one above Newest.
type VersionTakenError struct {
	Version, Newest           uint32
	Content, CommittedContent register.Content // of the write that is rejected, and the committed one
}

func newVersionTakenError(o register.Outcome, w Write) *VersionTakenError {
	committed, _ := o.Value.History.Find(w.Version)
	return &VersionTakenError{Version: w.Version, Newest: o.Value.Version, Content: w.Content, CommittedContent: committed.Content}
}

// Error is the text that the operator reads in the answer to the call.
func (e *VersionTakenError) Error() string {
	return fmt.Sprintf("edition %08x was taken with another content (%s): this one (%s) is not in force and never will be under that number; "+
		"the newest edition is %08x, send yours under a higher one", e.Version, e.CommittedContent, e.Content, e.Newest)
}

// ErrorName returns a short name of an error of this package, for metrics: they have to be few.
func ErrorName(err error) string {
	var taken *VersionTakenError
	switch {
	case errors.As(err, &taken):
		return "version_taken"
	case errors.Is(err, ErrRolloutUnderWay):
		return "rollout_under_way"
	case errors.Is(err, ErrNoQuorum):
		return "no_quorum"
	case errors.Is(err, ErrDiskFailing):
		return "disk_failing"
	case errors.Is(err, ErrQueueFull):
		return "queue_full"
	case errors.Is(err, ErrTimeout):
		return "timeout"
	}
	return "shutdown"
}
