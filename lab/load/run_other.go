//go:build !linux

package load

import (
	"context"
	"errors"
)

// Run is supported on Linux only.
func Run(context.Context, Config) (*Result, error) { return nil, errors.ErrUnsupported }
