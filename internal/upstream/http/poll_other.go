//go:build !linux

package http

import (
	"context"
	"errors"
)

// PollBack is there on Linux only.
type PollBack struct{ *Back }

// NewPoll fails: Back has to do.
func NewPoll(context.Context, Config) (*PollBack, error) { return nil, errors.ErrUnsupported }
