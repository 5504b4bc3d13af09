// Command firplank-control is the program of a control machine of the mesh. It is a thin wrapper of package controlplane.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log/level"

	"firplank/mesh/bootstrap"
	"firplank/mesh/controlplane"
)

var cli struct {
	Settings string `help:"Settings file." env:"FIRPLANK_BOOT" default:""`
	Debug    bool   `help:"Log at level debug."`
}

func main() {
	kong.Parse(&cli, kong.Name("firplank-control"), kong.Description("The control plane of the mesh, one process on each control machine."))
	log, _ := bootstrap.NewLog(os.Stderr, cli.Debug)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	signal.Ignore(syscall.SIGHUP)
	s, err := bootstrap.Load(cli.Settings)
	if err == nil {
		err = controlplane.Run(ctx, s, log)
	}
	if err != nil {
		// The logger writes to standard error. If that fails, the error cannot be reported anywhere else.
		_ = level.Error(log).Log("msg", "control machine failed", "error", err)
		os.Exit(1)
	}
}
