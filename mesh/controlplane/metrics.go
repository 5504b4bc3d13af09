package controlplane

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"firplank/internal/telemetry"
	"firplank/mesh/configversion"
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/dissemination"
)

// controlMetrics are the counters and gauges of a control machine. The event loop writes them, scrapes read them.
type controlMetrics struct {
	registry *telemetry.Registry

	diskErrors, sidecarsLost, unknownCalls *metrics.Counter

	committedVersion, members, peersConnected, subscribers atomic.Int64
	pendingOperations, quorumAgeMillis, lowestInForce      atomic.Int64
}

// newControlMetrics returns the metrics of a machine, all at 0.
func newControlMetrics() *controlMetrics {
	r := telemetry.NewRegistry()
	f := &controlMetrics{
		registry:     r,
		diskErrors:   r.Counter("disk_errors_total"),
		sidecarsLost: r.Counter("sidecars_lost_total"),
		unknownCalls: r.Counter("calls_unknown_total"),
	}
	for name, value := range map[string]*atomic.Int64{
		"committed_version": &f.committedVersion, "members": &f.members, "peers_connected": &f.peersConnected,
		"subscribers": &f.subscribers, "pending_operations": &f.pendingOperations, "quorum_age_ms": &f.quorumAgeMillis,
		"lowest_version_in_force": &f.lowestInForce,
	} {
		r.Gauge(name, func() float64 { return float64(value.Load()) })
	}
	return f
}

// serveMetrics serves the metrics until close is called. If the port is taken, it logs that and the machine runs without them.
func (s *Server) serveMetrics() (close func()) {
	if s.settings.IP == "" {
		return func() {}
	}
	close, err := s.metrics.registry.Serve(s.settings.IP, telemetry.ControlPort)
	if err != nil {
		_ = level.Warn(s.log).Log("msg", "serving metrics failed", "error", err)
		return func() {}
	}
	return close
}

// Values of the gauges of versions where there is none.
const (
	noCommittedVersion = -1 // nothing is committed
	noSubscribers      = -1 // no subscriber constrains the lowest version in force
	noVersionInForce   = -2 // a subscriber has no configuration
)

// gaugeOf returns a version's number for a gauge, or absent for configversion.None.
func gaugeOf(v configversion.Version, absent int64) int64 {
	if v == configversion.None {
		return absent
	}
	return int64(v.Number())
}

// updateMetrics sets the gauges to their current values.
func (s *Server) updateMetrics() {
	f, now := s.metrics, s.now()
	committed := s.pipeline.Committed()
	f.committedVersion.Store(gaugeOf(committed.Value.Version, noCommittedVersion))
	f.members.Store(int64(len(committed.Value.Members)))
	f.pendingOperations.Store(int64(s.operations.Len()))
	f.subscribers.Store(int64(s.hub.Publisher.Subscribers()))
	f.quorumAgeMillis.Store(-1)
	if committed.Known {
		f.quorumAgeMillis.Store((now - committed.AsOf).Milliseconds())
	}
	f.lowestInForce.Store(noSubscribers)
	if lowest := s.hub.LowestInForce(now); lowest != dissemination.Unconstrained {
		f.lowestInForce.Store(gaugeOf(lowest, noVersionInForce))
	}
	connected := 0
	for _, p := range s.peers.All() {
		if p.Connected() {
			connected++
		}
	}
	f.peersConnected.Store(int64(connected))
}

// recordOperationResult counts a client's operation by its kind and result, and logs it if it failed.
func (s *Server) recordOperationResult(call *operations.Call, err error) {
	kind := "read"
	logFields := []any{"msg", "operation failed", "operation", kind}
	if write, ok := call.Request.(operations.Write); ok {
		kind = "write"
		logFields = []any{"msg", "operation failed", "operation", kind, "version", write.Version, "content", write.Content}
	}
	result := "completed"
	if err != nil {
		result = operations.ErrorName(err)
		_ = level.Info(s.log).Log(append(logFields, "error", err, "cause", result)...)
	}
	s.metrics.registry.LabelledCounter("operations_"+kind+"_total", "result", result).Inc()
}
