package sidecar

import (
	"context"
	"log/slog"
	"os"
	"sync/atomic"

	"firplank/internal/roster"
)

// reloadCounts counts the configurations that a signal had read again: those applied, and those rejected.
type reloadCounts struct{ loaded, invalid atomic.Int64 }

// reloader applies a configuration that has changed while the sidecar runs.
type reloader struct {
	cfg             *Config
	follower        *roster.Follower
	reloadContracts func() // reads the contracts again
	counts          *reloadCounts
	log             *slog.Logger
}

// run reads the contracts and the configuration's file again with each signal, until ctx ends. Of the configuration, only the
// address of discovery changes before a restart; an invalid file changes nothing.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-signals:
			r.reloadContracts()
			r.reload()
		case <-ctx.Done():
			return
		}
	}
}

func (r *reloader) reload() {
	next, err := r.cfg.rereadFile()
	if err != nil {
		r.counts.invalid.Add(1)
		r.log.Error("configuration not reloaded: unchanged", "error", err)
		return
	}
	r.counts.loaded.Add(1)
	r.log.Info("configuration reloaded", "discovery", next.Discovery)
	r.follower.Move(next.Discovery)
}
