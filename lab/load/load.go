// Package load holds connections to one HTTP address on loopback and sends requests on some of them, at times that are drawn
// ahead: a slow answer does not put off the next request (open loop), and what a request waits for a connection counts as its
// latency. It owns the plan and the figures; it judges nothing and knows no class but as text of a request.
//
// load.go is the plan and what came of it, run_linux.go plays it over bare descriptors. Begin with Run.
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

// Config says what to load.
type Config struct {
	Addr                 string        // of the server: an IP address of loopback, and a port
	Connections          int           // held all the time
	Active               int           // of them, those that requests go out on; 0: all
	Rate                 float64       // requests a second, Poisson, unless Rush is set
	Rush                 bool          // in place of Rate each active connection sends one request, evenly over Length
	Length               time.Duration // for which requests are begun
	ConnectionsPerSecond float64       // connections opened a second; 0: as fast as they come up
	Sources              int           // addresses of 127.0.0.0/8 that connections come from; 0: as many as ports ask for
	ResponseTimeout      time.Duration // for an answer; 0: 5 s
	Seed                 uint64
	// Greeting is a request that each connection sends when it is up, so that a server knows it; empty: none. Request is what
	// the others send, with {n} for a number of 16 digits that is another each time.
	Greeting, Request string
	PID               int // of the server, whose memory and processor time are measured; 0: nobody's
}

// Bounds of what may be asked of the machine.
const (
	maxConnections       = 200_000
	maxRequests          = 20_000_000
	connectionsPerSource = 20_000 // connections from one address, of the 28,000 ports that the kernel gives out
	maxLength            = 10 * time.Minute
)

// check fills in what was left out and reports what cannot be.
func (c *Config) check() error {
	addr, err := netip.ParseAddrPort(c.Addr)
	if err != nil {
		return fmt.Errorf("load: address: %w", err)
	}
	if !addr.Addr().IsLoopback() || !addr.Addr().Is4() {
		return fmt.Errorf("load: %s is no address of 127.0.0.0/8: nothing else is loaded", c.Addr)
	}
	if c.Connections < 1 || c.Connections > maxConnections {
		return fmt.Errorf("load: %d connections: want 1 to %d", c.Connections, maxConnections)
	}
	if c.Active == 0 {
		c.Active = c.Connections
	}
	if c.Active < 0 || c.Active > c.Connections {
		return fmt.Errorf("load: %d of %d connections active", c.Active, c.Connections)
	}
	if c.Length <= 0 || c.Length > maxLength {
		return fmt.Errorf("load: a length of %v: want more than 0 and at most %v", c.Length, maxLength)
	}
	if !c.Rush && !(c.Rate >= 0 && c.Rate*c.Length.Seconds() <= maxRequests) {
		return fmt.Errorf("load: %v requests a second for %v: at most %d in all", c.Rate, c.Length, maxRequests)
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
		return errors.New("load: the request does not end with an empty line")
	}
	return nil
}

// start is when a request is begun, and on which of the active connections.
type plannedStart struct {
	at   time.Duration
	conn int
}

// plan draws the starts of a checked configuration ahead.
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

// Latency is a distribution of times, from the planned start on, within a thousandth.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"most_ms"`
}

// times keeps latencies in microseconds, up to ten minutes, with three digits.
type latencyHistogram struct{ h *hdrhistogram.Histogram }

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{hdrhistogram.New(1, int64(maxLength/time.Microsecond), 3)}
}

// Fails only above the histogram's range.
func (t latencyHistogram) record(d time.Duration) { _ = t.h.RecordValue(max(1, d.Microseconds())) }

func (t latencyHistogram) latency() Latency {
	ms := func(q float64) float64 { return float64(t.h.ValueAtQuantile(q)) / 1000 }
	l := Latency{Count: t.h.TotalCount()}
	if l.Count > 0 {
		l.P50, l.P90, l.P99, l.P999, l.Max = ms(50), ms(90), ms(99), ms(99.9), float64(t.h.Max())/1000
	}
	return l
}

// Result is what came of a load.
type Result struct {
	Held         int           `json:"held"`       // connections that were up when requests began
	HeldAtEnd    int           `json:"held_after"` // ... and when the last had ended
	DialFailures int           `json:"undialled"`  // that did not come up
	Ramp         time.Duration `json:"ramp_ns"`    // which it took to open them
	Closed       int           `json:"closed"`     // by the server, without a request open
	Reopened     int           `json:"again"`      // opened once more, as a request needed one

	Sent            int     `json:"sent"`
	Served          Latency `json:"served"`  // 2xx
	Refused         Latency `json:"refused"` // 429 and 503
	Failed          Latency `json:"failed"`  // any other answer
	Lost            int     `json:"lost"`    // no answer in time, or the connection ended before one
	MaxStartDelayMS float64 `json:"late_ms"` // by which the latest request was begun behind its plan: the load's own fault

	Duration           time.Duration `json:"took_ns"`   // from the first planned start to the last answer
	MemoryKB           [3]int64      `json:"memory_kb"` // of the server: before, with all connections held, at the end
	CPU                time.Duration `json:"cpu_ns"`    // of the server, while requests were open
	BytesPerConnection float64       `json:"bytes_a_connection"`
}

// Table writes the result for a person.
func (r *Result) Table(w io.Writer) error {
	printer := output.New(w)
	printer.Printf("%d connections held (%d did not come up) after %v; %d at the end; %d closed by the server, %d opened again\n",
		r.Held, r.DialFailures, r.Ramp.Round(time.Millisecond), r.HeldAtEnd, r.Closed, r.Reopened)
	if r.MemoryKB[1] > 0 {
		printer.Printf("server: %.1f MB before, %.1f MB with them (%.0f bytes a connection), %.1f MB at the end; %v of processor\n",
			float64(r.MemoryKB[0])/1024, float64(r.MemoryKB[1])/1024, r.BytesPerConnection, float64(r.MemoryKB[2])/1024,
			r.CPU.Round(time.Millisecond))
	}
	printer.Printf("%d requests within %v, %d lost; the load itself was at most %.1f ms behind its plan\n", r.Sent,
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
