package main

import (
	"context"
	"fmt"
	"os"

	"firplank/internal/sidecar"
	"firplank/lab/peer"
	"firplank/lab/run"
)

// child is this program in another role.
func childProgram(role string) (run.Program, error) {
	self, err := os.Executable()
	if err != nil {
		return run.Program{}, fmt.Errorf("find this program: %w", err)
	}
	return run.Program{Args: []string{self, "child", role}}, nil
}

// childCommand is how this program starts itself as a sidecar or as one of the proxies that it is compared with.
type childCommand struct {
	Role   string `arg:""`
	Config string
}

func (c *childCommand) Run(ctx context.Context) error {
	if c.Role == "sidecar" {
		return sidecar.Main(os.Getenv, c.Config, os.Stderr)
	}
	return peer.Run(ctx, c.Role, os.Getenv)
}
