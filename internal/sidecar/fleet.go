package sidecar

import (
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"firplank/fleet"
	"firplank/internal/peers"
)

// fleetLink is this sidecar's part in the exchange of state between sidecars; nil where that is off.
type fleetLink struct {
	peers *peers.Agent
	tally *peers.Tally
}

// checkFleet checks what the option fleet.enabled requires; nil where it is off.
func (c *Config) checkFleet() error {
	if !c.Options.Fleet.Enabled {
		return nil
	}
	if !c.Balance.Messages {
		return errors.New("fleet.enabled: the settings do not allow it: limits.may_tell is not true")
	}
	if err := peers.CheckAddresses(c.Balance.Index, c.PeerListen, c.Peers); err != nil {
		return errors.Wrap(err, "fleet.enabled")
	}
	if cells := c.newTally().Cells(); cells > fleet.MaxCells {
		return errors.Errorf("fleet.enabled: %d pairs of tenant and class: want %d at most", cells, fleet.MaxCells)
	}
	return nil
}

func (c *Config) newTally() *peers.Tally {
	return peers.NewTally(c.catalog.ClassNames(), c.catalog.TenantNames(), c.Options.Fleet.MaxRequestsPerSecond)
}

// openFleet opens the socket to other sidecars; nil where the option is off.
func (c *Config) openFleet(log *slog.Logger) (*fleetLink, error) {
	if !c.Options.Fleet.Enabled {
		return nil, nil
	}
	if err := c.checkFleet(); err != nil {
		return nil, err
	}
	l := &fleetLink{tally: c.newTally()}
	var err error
	l.peers, err = peers.Open(peers.Config{
		Listen: c.PeerListen,
		Peers:  c.Peers,
		Tally:  l.tally,
		Log:    log,
		Fleet: fleet.Config{
			Number:      c.Balance.Index,
			Members:     len(c.Peers),
			Seed:        c.Balance.Seed,
			Cells:       l.tally.Cells(),
			MaxRate:     c.Options.Fleet.MaxRequestsPerSecond,
			Incarnation: fleet.NewIncarnation(time.Now(), c.Balance.Seed),
		},
	})
	if err != nil {
		return nil, errors.Wrap(err, "fleet")
	}
	log.Info("exchanging state with other sidecars", "peer_listen", c.PeerListen, "members", len(c.Peers))
	return l, nil
}
