package sidecar

import (
	"context"
	"log/slog"
	"os"
	"sync/atomic"

	"firplank/internal/roster"
)

// reloadCounts counts configuration reloads: those applied and those rejected as invalid.
type reloadCounts struct{ loaded, invalid atomic.Int64 }

// reloader applies changed contracts and configuration to the running sidecar.
type reloader struct {
	cfg            *Config
	follower       *roster.Follower
	applyContracts func() // reads and applies the contracts
	counts         *reloadCounts
	log            *slog.Logger
}

// run reads the contracts and the configuration file again on each signal, until ctx ends. Only the address of discovery is
// applied from the configuration; other changes need a restart. An invalid file changes nothing.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-signals:
			r.applyContracts()
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
		r.log.Error("reloading the configuration failed: the present one is kept", "error", err)
		return
	}
	r.counts.loaded.Add(1)
	r.log.Info("configuration reloaded", "discovery", next.Discovery)
	r.follower.Move(next.Discovery)
}
