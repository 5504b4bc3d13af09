package main

import (
	"context"
	"fmt"
	"os"

	"firplank/internal/sidecar"
	"firplank/lab/peer"
	"firplank/lab/run"
)

// childProgram returns a program that runs this executable in another role.
func childProgram(role string) (run.Program, error) {
	self, err := os.Executable()
	if err != nil {
		return run.Program{}, fmt.Errorf("find the path of this program: %w", err)
	}
	return run.Program{Args: []string{self, "child", role}}, nil
}

// childCommand runs this program as a sidecar or as one of the reverse proxies that sidecars are compared with. The laboratory starts it.
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
