package run

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pelletier/go-toml/v2"

	"firplank/internal/options"
	"firplank/internal/output"
	"firplank/lab/receiver"
	"firplank/lab/scenario"
	"firplank/lab/standin"
)

// ReportingOptions configure the measurement of the cost of reporting.
type ReportingOptions struct {
	Program Program
	Workers int     // each sends one request after the other
	Seconds float64 // of the measurement
}

// ReportingCost is the latency and CPU use of requests through a sidecar with one configuration of reporting.
type ReportingCost struct {
	Name     string        `json:"name"`
	Requests int64         `json:"requests"`
	P50      time.Duration `json:"p50_ns"`
	P99      time.Duration `json:"p99_ns"`
	CPU      float64       `json:"cpu_part"` // part of one core
	Reported int64         `json:"told"`     // requests that the receiver counted; -1: no receiver that reads
}

// reportingVariant is one sidecar of the measurement, with its configuration of reporting.
type reportingVariant struct {
	name      string
	options   object
	process   *process
	latencies *hdrhistogram.Histogram
	reported  func() int64
}

// Reporting measures how much reporting adds to the cost of requests. It compares sidecars without reporting, with receivers
// that read, and with a receiver that accepts connections and never reads. Every worker sends a request to each of them in
// turn, in a new random order each time, so that other load on the machine affects all of them alike.
func Reporting(ctx context.Context, o ReportingOptions) ([]ReportingCost, error) {
	sc, err := scenario.Parse("reporting.toml", fmt.Appendf(nil, throughputScenario, scenario.HTTP, scenario.HTTP))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "firplank-lab-")
	if err != nil {
		return nil, fmt.Errorf("reporting: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder, which may remain
	carbon, err := receiver.NewCarbon(false)
	if err != nil {
		return nil, fmt.Errorf("reporting: %w", err)
	}
	defer carbon.Stop()
	stalled, err := receiver.NewCarbon(false)
	if err != nil {
		return nil, fmt.Errorf("reporting: %w", err)
	}
	defer stalled.Stop()
	stalled.Stall(true)
	socket, err := receiver.NewSocket(filepath.Join(dir, "collectd"))
	if err != nil {
		return nil, fmt.Errorf("reporting: %w", err)
	}
	defer socket.Stop()
	variants := reportingVariants(carbon, stalled, socket)
	roster, closeFleet, err := echoFleet(sc, false, len(variants))
	if err != nil {
		return nil, err
	}
	defer closeFleet()
	for i, s := range variants {
		if err := s.start(ctx, dir, sc, roster, i, o.Program); err != nil {
			return nil, fmt.Errorf("reporting: %s: %w", s.name, err)
		}
		defer s.process.close()
	}
	if err := sendRequests(ctx, variants, o.Workers, o.Seconds/4); err != nil { // warm-up
		return nil, err
	}
	return measureVariants(ctx, variants, o)
}

// reportingVariants returns the configurations of reporting that are compared.
func reportingVariants(carbon, stalled *receiver.Carbon, socket *receiver.Socket) []*reportingVariant {
	collectd := object{"unix_socket": socket.Addr(), "interval_s": 1, "host": "lab"}
	return []*reportingVariant{
		{name: "off", reported: func() int64 { return -1 }},
		{name: "on", options: object{
			"graphite": object{"address": carbon.Addr(), "prefix": "on", "interval_s": 1}, "collectd": collectd,
		}, reported: func() int64 { return int64(carbon.Sum("on.requests.lookup.served.count")) }},
		{name: "stalled", options: object{
			"graphite": object{"address": stalled.Addr(), "prefix": "stalled", "interval_s": 1},
		}, reported: func() int64 { return -1 }},
		{name: "off again", reported: func() int64 { return -1 }},
	}
}

// measureVariants sends requests to all variants for the time of the measurement, and returns the cost of each.
func measureVariants(ctx context.Context, variants []*reportingVariant, o ReportingOptions) ([]ReportingCost, error) {
	cpu, begun := make([]time.Duration, len(variants)), time.Now()
	for i, s := range variants {
		s.latencies.Reset()
		cpu[i] = processTime(s.process.cmd.Process.Pid)
	}
	if err := sendRequests(ctx, variants, o.Workers, o.Seconds); err != nil {
		return nil, err
	}
	var all []ReportingCost
	for i, s := range variants {
		used := processTime(s.process.cmd.Process.Pid) - cpu[i]
		all = append(all, ReportingCost{
			Name: s.name, Requests: s.latencies.TotalCount(), CPU: used.Seconds() / time.Since(begun).Seconds(),
			P50: time.Duration(s.latencies.ValueAtQuantile(50)), P99: time.Duration(s.latencies.ValueAtQuantile(99)),
		})
	}
	time.Sleep(1500 * time.Millisecond) // until the interval of the last requests has been reported
	for i, s := range variants {
		all[i].Reported = s.reported()
	}
	return all, nil
}

func (s *reportingVariant) start(
	ctx context.Context, dir string, sc *scenario.Scenario, roster *standin.Roster, number int, program Program,
) error {
	path, err := writeConfig(dir, sc, number, "127.0.0.1:0", roster.Addr(number), roster.Current(number), nil)
	if err != nil {
		return err
	}
	s.latencies = hdrhistogram.New(1000, int64(time.Minute), 3)
	s.process = &process{number: number, program: program, config: path}
	s.process.program.Env = append(slices.Clone(program.Env), "GOMAXPROCS=1")
	if s.options != nil {
		text, err := toml.Marshal(s.options)
		if err != nil {
			return err
		}
		if _, err := options.Parse("reporting.toml", text); err != nil {
			return err
		}
		s.process.options = func(string) ([]byte, error) { return text, nil }
	}
	if err := s.process.start(ctx); err != nil {
		return err
	}
	return s.process.awaitReady(ctx)
}

// sendRequests has workers send requests to all variants in turn for a time.
func sendRequests(ctx context.Context, variants []*reportingVariant, workers int, seconds float64) error {
	until := time.Now().Add(time.Duration(seconds * float64(time.Second)))
	var workersRunning sync.WaitGroup
	var mu sync.Mutex
	var failed error
	var number atomic.Int64
	for w := range workers {
		workersRunning.Go(func() {
			err := func() error {
				order := rand.New(rand.NewPCG(7, uint64(w)))
				conns := make([]*keptConn, len(variants))
				for i, s := range variants {
					c, err := net.Dial("tcp", s.process.address())
					if err != nil {
						return err
					}
					defer func() { _ = c.Close() }() // the connection is released even where this fails
					conns[i] = &keptConn{c, bufio.NewReader(c)}
				}
				for time.Now().Before(until) && ctx.Err() == nil {
					for _, i := range order.Perm(len(variants)) {
						began := time.Now()
						if err := conns[i].get(number.Add(1)); err != nil {
							return fmt.Errorf("%s: %w", variants[i].name, err)
						}
						took := time.Since(began)
						mu.Lock()
						_ = variants[i].latencies.RecordValue(int64(took)) // fails only above the histogram's range
						mu.Unlock()
					}
				}
				return nil
			}()
			if err != nil {
				mu.Lock()
				failed = err
				mu.Unlock()
			}
		})
	}
	workersRunning.Wait()
	return failed
}

// keptConn is a persistent connection with one request in flight at a time.
type keptConn struct {
	net.Conn
	in *bufio.Reader
}

func (l *keptConn) get(number int64) error {
	_ = l.SetDeadline(time.Now().Add(10 * time.Second)) // fails only on a closed connection, as the next call on it does
	if _, err := io.WriteString(l, "GET /api HTTP/1.1\r\nHost: a\r\nX-Trace-Id: r"+strconv.FormatInt(time.Now().UnixNano(), 36)+
		strconv.FormatInt(number, 36)+"\r\nX-Qos: lookup\r\nX-Customer: north\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(l.in, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read or is not needed
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", resp.Status)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// ReportingTable writes the measurements, with their ratios to the first one.
func ReportingTable(out io.Writer, all []ReportingCost) error {
	t := output.NewTable(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	t.Println("reporting\trequests\tp50 us\tratio\tp99 us\tratio\tpart of a core\ttold of\t")
	for _, c := range all {
		t.Printf("%s\t%d\t%.1f\t%.3f\t%.1f\t%.3f\t%.4f\t%d\t\n", c.Name, c.Requests, float64(c.P50)/1000, float64(c.P50)/float64(all[0].P50),
			float64(c.P99)/1000, float64(c.P99)/float64(all[0].P99), c.CPU, c.Reported)
	}
	return t.Flush()
}
