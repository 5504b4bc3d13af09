//go:build !linux

// Package poller is there on Linux only.
package poller
