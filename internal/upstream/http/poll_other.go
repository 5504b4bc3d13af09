//go:build !linux

package http

import (
	"context"
	"errors"
)

// PollBackend is there on Linux only.
type PollBackend struct{ *Backend }

// NewPoll fails: Backend has to do.
func NewPoll(context.Context, Config) (*PollBackend, error) { return nil, errors.ErrUnsupported }
