// Package telemetry exposes the metrics of a process of the mesh: counters and gauges, served as text in the Prometheus
// exposition format. It owns the process's registry and its listener; other packages update the metrics.
//
// Start reading at Registry.
package telemetry

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	kitlog "github.com/go-kit/log"

	"firplank/internal/invariant"
)

// Path is the HTTP path of the metrics.
const Path = "/metrics"

// The ports of the metrics of sidecars and control machines, at their machine's address. deploy/system.toml has them too.
const (
	ProxyPort   = 9464
	ControlPort = 9465
)

const (
	// namePrefix begins the names of all metrics.
	namePrefix = "firplank_"
	// ViolationsName is the name of the counters of violated invariants.
	ViolationsName = namePrefix + "invariant_violations_total"
	// readTimeout limits the time to read a scrape request.
	readTimeout = 5 * time.Second
)

// Registry holds the metrics of a process. It is safe for concurrent use.
type Registry struct{ set *metrics.Set }

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{metrics.NewSet()} }

// Counter returns the counter of a name such as "requests_total", and creates it if there is none.
func (r *Registry) Counter(name string) *metrics.Counter {
	return r.set.GetOrCreateCounter(namePrefix + name)
}

// LabelledCounter returns the counter of a name with one label, and creates it if there is none. The label must have few values.
func (r *Registry) LabelledCounter(name, label, value string) *metrics.Counter {
	return r.set.GetOrCreateCounter(fmt.Sprintf("%s%s{%s=%q}", namePrefix, name, label, value))
}

// Gauge adds a gauge whose value is read by a function at each scrape, from any goroutine.
func (r *Registry) Gauge(name string, read func() float64) {
	r.set.GetOrCreateGauge(namePrefix+name, read)
}

// SetFlag sets a gauge with one label to 1 for good. The label must have few values.
func (r *Registry) SetFlag(name, label, value string) {
	r.set.GetOrCreateGauge(fmt.Sprintf("%s%s{%s=%q}", namePrefix, name, label, value), func() float64 { return 1 })
}

// NewMonitor returns the monitor of the process's invariants, which counts violations in this registry.
func (r *Registry) NewMonitor(log kitlog.Logger) *invariant.Monitor {
	return invariant.NewMonitor(log, func(name invariant.Name) invariant.Counter {
		return r.LabelledCounter("invariant_violations_total", "invariant", string(name))
	})
}

// ServeHTTP implements http.Handler.
func (r *Registry) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != Path || request.Method != http.MethodGet {
		http.NotFound(w, request)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	r.set.WritePrometheus(w)
}

// Serve serves the metrics on a port until close is called. It returns an error if it can't listen.
func (r *Registry) Serve(ip string, port int) (close func(), err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port)))
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics")
	}
	server := &http.Server{Handler: r, ReadTimeout: readTimeout, IdleTimeout: readTimeout}
	ended := make(chan struct{}, 1)
	go func() {
		defer func() { ended <- struct{}{} }()
		_ = server.Serve(listener) // returns when it is closed
	}()
	return func() {
		_ = server.Close() // an aborted scrape is repeated
		<-ended
	}, nil
}
