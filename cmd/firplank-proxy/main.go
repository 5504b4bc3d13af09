// Command firplank-proxy is the sidecar of a server, the mesh's data plane. It is a thin wrapper of package dataplane.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log/level"

	"firplank/mesh/bootstrap"
	"firplank/mesh/dataplane"
)

var cli struct {
	Settings string `help:"Settings file." env:"FIRPLANK_BOOT" default:""`
	Debug    bool   `help:"Log at level debug."`
}

func main() {
	reloads := make(chan os.Signal, 1) // a pending reload covers later signals, as it reads the latest settings
	signal.Notify(reloads, syscall.SIGHUP)
	kong.Parse(&cli, kong.Name("firplank-proxy"), kong.Description("The data plane of the mesh, one sidecar beside each server."))
	log, shared := bootstrap.NewLog(os.Stderr, cli.Debug)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := dataplane.Run(ctx, cli.Settings, reloads, log, shared); err != nil {
		// The logger writes to standard error. If that fails, the error cannot be reported anywhere else.
		_ = level.Error(log).Log("msg", "sidecar failed", "error", err)
		os.Exit(1)
	}
}
