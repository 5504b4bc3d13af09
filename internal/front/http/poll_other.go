//go:build !linux

package http

import (
	"errors"
	"net"
	"time"

	"firplank/internal/core"
)

// PollFront exists on Linux only.
type PollFront struct{}

// NewPoll returns errors.ErrUnsupported; use New.
func NewPoll(Config, *core.Loop) (*PollFront, error) { return nil, errors.ErrUnsupported }

// Serve does nothing.
func (*PollFront) Serve(net.Listener) {}

// Failed returns nil.
func (*PollFront) Failed() <-chan error { return nil }

// End does nothing.
func (*PollFront) End(time.Duration) error { return nil }

// Wait returns at once.
func (*PollFront) Wait() {}
