//go:build !linux

// Package poller exists on Linux only.
package poller

import "errors"

// Check returns errors.ErrUnsupported.
func Check() error { return errors.ErrUnsupported }
