//go:build !linux

// Package poller is there on Linux only.
package poller

import "errors"

// Check fails.
func Check() error { return errors.ErrUnsupported }
