package sidecar

import (
	"context"
	"log/slog"
	"os"

	"cedararch/internal/roster"
)

// reload reads the configuration's file again with each signal, until ctx ends, and moves to the discovery that
// it names. Contracts are read again too. The rest of the configuration holds until a restart; where a file cannot be
// used, all of it does.
func reload(
	ctx context.Context, cfg *Config, signals <-chan os.Signal, d *roster.Follower, contracts func(), log *slog.Logger,
) {
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		contracts()
		next, err := cfg.reread()
		if err != nil {
			log.Error("the old configuration stays", "error", err)
			continue
		}
		log.Info("configuration read again", "discovery", next.Discovery)
		d.Move(next.Discovery)
	}
}
