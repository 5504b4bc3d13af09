package operations

import (
	"context"
	"time"

	"firplank/mesh/register"
)

// Call is the client's side of one operation. The event loop proposes it and sets ID; the goroutine that serves the client waits for it.
type Call struct {
	Request Request
	ID      uint64 // of the event loop alone; 0: not proposed
	result  chan Result
}

// NewCall returns a call for an operation that is yet to be proposed.
func NewCall(r Request) *Call { return &Call{Request: r, result: make(chan Result, 1)} }

// Respond implements Responder.
func (c *Call) Respond(r Result) { c.result <- r }

// Wait returns the operation's outcome. The error is that of its Result, ErrTimeout after a timeout (timing.Operations.Timeout), or the
// context's. After ErrTimeout the operation is to be cancelled.
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
