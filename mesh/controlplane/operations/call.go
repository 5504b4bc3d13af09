package operations

import (
	"context"
	"time"

	"firplank/mesh/register"
)

// Call is the client's side of one operation. The event loop proposes it and sets ID; the goroutine that serves the client waits for it.
type Call struct {
	Request Request
	ID      uint64 // used by the event loop only; 0: not proposed
	result  chan Result
}

// NewCall returns a call for an operation that has not been proposed yet.
func NewCall(r Request) *Call { return &Call{Request: r, result: make(chan Result, 1)} }

// Respond implements Responder.
func (c *Call) Respond(r Result) { c.result <- r }

// Wait waits for the operation's outcome and returns it. The error is that of the Result, ErrTimeout after timeout
// (timing.Operations.Timeout), or that of ctx. After ErrTimeout the caller has to cancel the operation.
func (c *Call) Wait(ctx context.Context, timeout time.Duration) (register.Outcome, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-c.result:
		return r.Outcome, r.Err
	case <-timer.C:
		return register.Outcome{}, ErrTimeout
	case <-ctx.Done():
		return register.Outcome{}, ctx.Err()
	}
}
