package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"

	"firplank/internal/options"
)

// Main runs a sidecar with the configuration named by NODE_CONFIG and the options file, until SIGTERM or an interrupt. It is
// called by package main after the command line is parsed.
func Main(getenv func(string) string, optionsPath string, log io.Writer) error {
	// Registered first, because an unhandled SIGHUP ends the process. A buffer of one is enough: pending signals are merged.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	cfg, err := LoadAll(getenv, optionsPath)
	if err != nil {
		return err
	}
	cfg.Limits.Apply(1)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return Run(ctx, cfg, reloads, slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: cfg.Options.Log.Level})))
}

// LoadAll reads and validates configuration, options and contracts without starting anything. Errors in the method table,
// the contracts and the fleet options are joined.
func LoadAll(getenv func(string) string, optionsPath string) (*Config, error) {
	opts, err := options.Load(optionsPath)
	if err != nil {
		return nil, err
	}
	cfg, err := Load(getenv)
	if err != nil {
		return nil, err
	}
	cfg.Options = *opts
	var errs [3]error
	cfg.methods, errs[0] = rpcMethods(&opts.MsgpackRPC, cfg.catalog)
	cfg.contracts, errs[1] = cfg.loadContracts()
	errs[2] = cfg.checkFleet()
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	return cfg, nil
}

// Summary describes a validated configuration in one line.
func (c *Config) Summary() string {
	classes, tenants := c.catalog.Sizes()
	return fmt.Sprintf("%s: %d classes, %d tenants, %d servers known, %d descriptors, listens on %s, discovery at %s",
		c.Name, classes, tenants, len(c.Known.Members), c.Limits.Sockets, c.Listen, c.Discovery)
}
