package dataplane

import (
	"time"

	"github.com/go-kit/log/level"

	"firplank/internal/invariant"
	"firplank/mesh/config"
	"firplank/mesh/configversion"
	"firplank/mesh/directory"
)

// host implements distribution.Host. Its methods run on the loop's goroutine.
type host struct {
	p *Proxy

	packed        []byte // the compressed text of version packedVersion, shared by all subscribers
	packedVersion configversion.Version
}

// Unpack implements distribution.Host.
func (*host) Unpack(_ configversion.Version, packed []byte) ([]byte, error) {
	return config.Unpack(packed)
}

// Intern implements distribution.Host. A process has one sidecar and so one copy of the text; nothing is shared.
func (*host) Intern(_ configversion.Version, text []byte) []byte { return text }

// Pack implements distribution.Host.
func (h *host) Pack(version configversion.Version, text []byte) []byte {
	if h.packedVersion != version {
		h.packedVersion, h.packed = version, config.Pack(text)
	}
	return h.packed
}

// Adopt implements distribution.Host. A text that cannot be parsed leaves the present configuration in force. That is
// unexpected, as the control machines check each text.
func (h *host) Adopt(version configversion.Version, text []byte) (inForce configversion.Version) {
	p := h.p
	next, err := config.ParseCommitted(text)
	if err != nil {
		_ = level.Error(p.log).Log("msg", "configuration invalid: the present one stays in force", "edition", version, "error", err)
		if cfg := p.cfg.Load(); cfg != nil {
			return cfg.Version
		}
		return configversion.None
	}
	p.checkAdoptedConfig(version, next)
	names := make([]string, 0, len(next.Services))
	for name := range next.Services {
		names = append(names, name)
	}
	services := p.exchanges.GetOrCreate(names)
	p.services.Store(&services)
	p.cfg.Store(next)
	return next.Version
}

// DescribeServer implements distribution.Host.
func (h *host) DescribeServer(own *directory.Entry) {
	p := h.p
	p.lastHop.fillEntry(own)
	if own.Service == "" {
		own.Service = *p.serviceName.Load()
	}
	if p.shuttingDown.Load() && own.State == directory.Accepting {
		own.State = directory.Draining
	}
}

// RestoreServer implements distribution.Host.
func (h *host) RestoreServer(now time.Duration, earlier *directory.Entry) {
	h.p.lastHop.restore(now, earlier)
}

// IncarnationChanged implements distribution.Host.
func (h *host) IncarnationChanged(incarnation uint64) {
	h.p.lastHop.setIncarnation(incarnation)
}

// BecameReady implements distribution.Host.
func (h *host) BecameReady(now time.Duration) {
	p := h.p
	p.reconcileExchanges(now)
	p.ready.Store(true)
	state := p.node.State()
	_ = level.Info(p.log).Log("msg", "sidecar ready", "edition", state.Version, "age", now-state.AsOf, "machines", state.Directory.Len())
	p.beginIdentifyingServer()
}

// TombstoneRecorded implements distribution.Host.
func (h *host) TombstoneRecorded(now time.Duration, server string) {
	h.p.tombstones.recorded(now, server)
}

// TombstonesFetched implements distribution.Host.
func (h *host) TombstonesFetched(servers []string) (changed bool) {
	p := h.p
	changed = p.lastHop.serversShutDown(servers)
	if changed {
		p.lastHop.logServerState("a shutdown that an earlier process acknowledged")
	}
	return changed
}

// checkAdoptedConfig reports invariants that a configuration would violate, before it is put in force.
func (p *Proxy) checkAdoptedConfig(version configversion.Version, next *config.Config) {
	if next.Version != version {
		p.invariants.Violated(invariant.AdoptedVersionMatches, "sent", version, "text", next.Version)
	}
	if present := p.cfg.Load(); present != nil && next.Version < present.Version {
		p.invariants.Violated(invariant.InForceMonotonic, "next", next.Version, "present", present.Version)
	}
}
