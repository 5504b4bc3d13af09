// Package telemetry is what a process of the mesh tells of itself in figures: counters and gauges, served as text in the
// Prometheus exposition format. It owns the registry of the process and its listener; what is counted is for the packages
// that count.
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

// Path is the path of the figures, by GET.
const Path = "/metrics"

// The ports of the two programs, at their machine's address. deploy/system.toml names them too.
const (
	ProxyPort   = 9464
	ControlPort = 9465
)

const (
	// namePrefix begins the names of all figures.
	namePrefix = "firplank_"
	// ViolationsName is the name of the counters of violated invariants.
	ViolationsName = namePrefix + "invariant_violations_total"
	// readTimeout bounds a scrape's request.
	readTimeout = 5 * time.Second
)

// Registry is the figures of a process. Its methods are safe for concurrent use.
type Registry struct{ set *metrics.Set }

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{metrics.NewSet()} }

// Counter returns the counter of a name, which is made if there is none: "requests_total".
func (r *Registry) Counter(name string) *metrics.Counter {
	return r.set.GetOrCreateCounter(namePrefix + name)
}

// LabelledCounter returns a counter of a name with one label. The values have to be few.
func (r *Registry) LabelledCounter(name, label, value string) *metrics.Counter {
	return r.set.GetOrCreateCounter(fmt.Sprintf("%s%s{%s=%q}", namePrefix, name, label, value))
}

// Gauge has the figure of a name read by a function, at each scrape, from any goroutine.
func (r *Registry) Gauge(name string, read func() float64) {
	r.set.GetOrCreateGauge(namePrefix+name, read)
}

// Flag has the figure of a name with one label be 1 from now on. The values of the label have to be few.
func (r *Registry) SetFlag(name, label, value string) {
	r.set.GetOrCreateGauge(fmt.Sprintf("%s%s{%s=%q}", namePrefix, name, label, value), func() float64 { return 1 })
}

// NewMonitor returns the monitor of the process's invariants, which counts in this registry.
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

// Serve serves the figures at a port of a machine until close is called. The error is that of the listener.
func (r *Registry) Serve(ip string, port int) (close func(), err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port)))
	if err != nil {
		return nil, errors.Wrap(err, "listen for metrics")
	}
	server := &http.Server{Handler: r, ReadTimeout: readTimeout, IdleTimeout: readTimeout}
	ended := make(chan struct{}, 1)
	go func() {
		defer func() { ended <- struct{}{} }()
		_ = server.Serve(listener) // until closed
	}()
	return func() {
		_ = server.Close() // a scrape that is cut off is repeated
		<-ended
	}, nil
}
