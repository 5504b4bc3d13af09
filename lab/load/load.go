// Package load is an open-loop load generator for one HTTP address on loopback. It holds connections open and sends requests on
// some of them at times that are planned in advance: a slow response does not delay the next request, and the time that a
// request waits for its connection counts as latency. It measures and judges nothing.
//
// load.go has the plan and the result, run_linux.go sends the requests over raw sockets. Begin with Run.
package load

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"firplank/internal/output"
)

// Config configures a load.
type Config struct {
	Addr                 string        // of the server: a loopback IPv4 address and a port
	Connections          int           // held open during the load
	Active               int           // the connections that send requests; 0: all
	Rate                 float64       // requests a second, as a Poisson process; unused with Rush
	Rush                 bool          // each active connection sends one request, evenly spread over Length
	Length               time.Duration // time over which requests are started
	ConnectionsPerSecond float64       // rate at which connections are opened; 0: unlimited
	Sources              int           // source addresses in 127.0.0.0/8; 0: as many as the number of ports requires
	ResponseTimeout      time.Duration // 0: 5 s
	Seed                 uint64
	// Greeting is a request that each connection sends once it is open, so that the server has seen a request on it; empty: none.
	// Request is the text of the other requests, in which {n} is replaced with a unique number of 16 digits.
	Greeting, Request string
	PID               int // of the server, whose memory and CPU time are measured; 0: not measured
}

// Limits of a configuration, which protect the machine.
const (
	maxConnections       = 200_000
	maxRequests          = 20_000_000
	connectionsPerSource = 20_000 // per source address; the kernel has 28,000 ephemeral ports for each
	maxLength            = 10 * time.Minute
)

// check sets defaults and returns an error for an invalid configuration.
func (c *Config) check() error {
	addr, err := netip.ParseAddrPort(c.Addr)
	if err != nil {
		return fmt.Errorf("load: address: %w", err)
	}
	if !addr.Addr().IsLoopback() || !addr.Addr().Is4() {
		return fmt.Errorf("load: %s is not in 127.0.0.0/8: want a loopback address", c.Addr)
	}
	if c.Connections < 1 || c.Connections > maxConnections {
		return fmt.Errorf("load: %d connections: want 1 to %d", c.Connections, maxConnections)
	}
	if c.Active == 0 {
		c.Active = c.Connections
	}
	if c.Active < 0 || c.Active > c.Connections {
		return fmt.Errorf("load: %d active connections of %d: want 0 to the number of connections", c.Active, c.Connections)
	}
	if c.Length <= 0 || c.Length > maxLength {
		return fmt.Errorf("load: length %v: want more than 0 and at most %v", c.Length, maxLength)
	}
	if !c.Rush && !(c.Rate >= 0 && c.Rate*c.Length.Seconds() <= maxRequests) {
		return fmt.Errorf("load: %v requests a second for %v: want at most %d requests", c.Rate, c.Length, maxRequests)
	}
	if c.Sources == 0 {
		c.Sources = (c.Connections + connectionsPerSource - 1) / connectionsPerSource
	}
	if c.Sources < 1 || c.Sources > 250 {
		return fmt.Errorf("load: %d sources: want 1 to 250", c.Sources)
	}
	if c.ResponseTimeout == 0 {
		c.ResponseTimeout = 5 * time.Second
	}
	if !strings.HasSuffix(c.Request, "\r\n\r\n") {
		return errors.New("load: request does not end with an empty line")
	}
	return nil
}

// plannedStart is the planned time of a request, and the active connection that sends it.
type plannedStart struct {
	at   time.Duration
	conn int
}

// plan draws the starts of all requests of a checked configuration from its seed.
func (c *Config) plan() []plannedStart {
	r := rand.New(rand.NewPCG(c.Seed, 0x10ad))
	if c.Rush {
		all := make([]plannedStart, c.Active)
		for i, conn := range r.Perm(c.Active) {
			all[i] = plannedStart{time.Duration(float64(c.Length) * float64(i) / float64(c.Active)), conn}
		}
		return all
	}
	var all []plannedStart
	if c.Rate == 0 {
		return nil
	}
	for at := 0.0; ; {
		at += r.ExpFloat64() / c.Rate
		if at >= c.Length.Seconds() {
			return all
		}
		all = append(all, plannedStart{time.Duration(at * float64(time.Second)), r.IntN(c.Active)})
	}
}

// Latency is a distribution of latencies in milliseconds, counted from the planned start, with three significant digits.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"most_ms"`
}

// latencyHistogram records latencies in microseconds up to maxLength, with three significant digits.
type latencyHistogram struct{ h *hdrhistogram.Histogram }

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{hdrhistogram.New(1, int64(maxLength/time.Microsecond), 3)}
}

// RecordValue fails only above the histogram's range.
func (t latencyHistogram) record(d time.Duration) { _ = t.h.RecordValue(max(1, d.Microseconds())) }

func (t latencyHistogram) latency() Latency {
	ms := func(q float64) float64 { return float64(t.h.ValueAtQuantile(q)) / 1000 }
	l := Latency{Count: t.h.TotalCount()}
	if l.Count > 0 {
		l.P50, l.P90, l.P99, l.P999, l.Max = ms(50), ms(90), ms(99), ms(99.9), float64(t.h.Max())/1000
	}
	return l
}

// Result is the result of a load.
type Result struct {
	Held         int           `json:"held"`       // connections that were open when requests began
	HeldAtEnd    int           `json:"held_after"` // connections that were open when the last request had ended
	DialFailures int           `json:"undialled"`  // connections that could not be opened
	Ramp         time.Duration `json:"ramp_ns"`    // time to open the connections
	Closed       int           `json:"closed"`     // by the server, without a request in flight
	Reopened     int           `json:"again"`      // connections reopened for a request

	Sent            int     `json:"sent"`
	Served          Latency `json:"served"`  // 2xx
	Refused         Latency `json:"refused"` // 429 and 503
	Failed          Latency `json:"failed"`  // any other response
	Lost            int     `json:"lost"`    // no response in time, or the connection ended before it
	MaxStartDelayMS float64 `json:"late_ms"` // largest delay of a request behind its plan, caused by the generator

	Duration           time.Duration `json:"took_ns"`   // from the first planned start to the last response
	MemoryKB           [3]int64      `json:"memory_kb"` // of the server: before, with all connections open, and at the end
	CPU                time.Duration `json:"cpu_ns"`    // of the server, during the requests
	BytesPerConnection float64       `json:"bytes_a_connection"`
}

// Table writes the result as text.
func (r *Result) Table(w io.Writer) error {
	printer := output.New(w)
	printer.Printf("%d connections held (%d could not be opened) after %v; %d at the end; %d closed by the server, %d reopened\n",
		r.Held, r.DialFailures, r.Ramp.Round(time.Millisecond), r.HeldAtEnd, r.Closed, r.Reopened)
	if r.MemoryKB[1] > 0 {
		printer.Printf("server: %.1f MB before, %.1f MB with them (%.0f bytes a connection), %.1f MB at the end; %v of CPU time\n",
			float64(r.MemoryKB[0])/1024, float64(r.MemoryKB[1])/1024, r.BytesPerConnection, float64(r.MemoryKB[2])/1024,
			r.CPU.Round(time.Millisecond))
	}
	printer.Printf("%d requests within %v, %d lost; the generator was at most %.1f ms behind its plan\n", r.Sent,
		r.Duration.Round(time.Millisecond), r.Lost, r.MaxStartDelayMS)
	t := output.NewTable(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	t.Println("answers\tcount\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmost ms\t")
	for _, row := range []struct {
		name string
		l    Latency
	}{{"served", r.Served}, {"refused", r.Refused}, {"failed", r.Failed}} {
		t.Printf("%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", row.name, row.l.Count, row.l.P50, row.l.P90, row.l.P99, row.l.P999, row.l.Max)
	}
	return t.Flush()
}
