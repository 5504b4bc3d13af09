package operations

import (
	"fmt"

	"github.com/go-faster/errors"

	"firplank/mesh/configversion"
	"firplank/mesh/register"
)

// Reasons why an operation has no outcome. Table.Propose reports the first three for an operation that it did not propose. After those of
// Table.FailPending and after ErrTimeout the operation may have been committed. Clients cannot distinguish these cases, and send the same
// operation again, to any control machine.
var (
	ErrNoQuorum    = errors.New("no majority of the core answers")
	ErrDiskFailing = errors.New("the disk of this control machine fails")
	ErrQueueFull   = errors.New("too much waits for the disk of this control machine")
	ErrTimeout     = errors.New("operation timed out")
)

// ErrRolloutUnderWay reports that an order has no effect because a rollout of the service to another version is in progress.
var ErrRolloutUnderWay = errors.New("a rollout of the service to another version is under way")

// VersionTakenError reports that the version of a write was committed with another content before. The write never comes into force under
// that version; the client has to send it under a version above Newest.
type VersionTakenError struct {
	Version, Newest           configversion.Version
	Content, CommittedContent register.Content // of the rejected write, and of the committed version
}

func newVersionTakenError(o register.Outcome, w Write) *VersionTakenError {
	committed, _ := o.Value.History.Find(w.Version)
	return &VersionTakenError{Version: w.Version, Newest: o.Value.Version, Content: w.Content, CommittedContent: committed.Content}
}

// Error returns the text that the operator reads in the response to the call.
func (e *VersionTakenError) Error() string {
	return fmt.Sprintf("edition %v was taken with another content (%s): this one (%s) is not in force and never will be under that number; "+
		"the newest edition is %v, send yours under a higher one", e.Version, e.CommittedContent, e.Content, e.Newest)
}

// ErrorName returns a short name for an error of this package. It is used as a metric label, so there are few of them. All other errors
// are named "shutdown".
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
