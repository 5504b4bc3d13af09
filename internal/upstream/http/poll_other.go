//go:build !linux

package http

import (
	"context"
	"errors"
)

// PollBackend is available on Linux only.
type PollBackend struct{ *Backend }

// NewPoll returns errors.ErrUnsupported. Callers use Backend instead.
func NewPoll(context.Context, Config) (*PollBackend, error) { return nil, errors.ErrUnsupported }
