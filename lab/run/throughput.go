package run

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"firplank/internal/output"
	"firplank/lab/judge"
	"firplank/lab/scenario"
	"firplank/lab/standin"
)

// Subject is a program whose throughput is measured.
type Subject struct {
	Name    string
	Program Program
	RPC     bool // clients and servers use MessagePack-RPC
}

// ThroughputOptions configure a throughput measurement.
type ThroughputOptions struct {
	Subjects  []Subject
	InFlight  []int
	Seconds   float64 // of each measurement
	Rounds    int     // times that the subjects take turns
	IdleConns int     // idle connections to open, for the memory of each; 0: not measured
}

// ThroughputResult is the throughput of a subject: the median of its rounds by requests per CPU second.
type ThroughputResult struct {
	Name          string  `json:"name"`
	InFlight      int     `json:"in_flight"`
	PerS          float64 `json:"per_s"`
	PerCPU        float64 `json:"per_cpu_s"` // requests per second of CPU time
	CPU           float64 `json:"cpu_us"`    // CPU time per request, in microseconds
	LeastPerCPU   float64 `json:"least_per_cpu_s"`
	MostPerCPU    float64 `json:"most_per_cpu_s"`
	Refused       int64   `json:"refused"`
	Failed        int64   `json:"failed"`
	MemoryKB      int64   `json:"memory_kb"`
	IdleConnBytes int64   `json:"idle_bytes"` // memory per idle connection

	rounds []ThroughputResult
}

const throughputScenario = `
rate = 20000
length_s = 1
sidecars = 1
[limits]
memory_mb = 512
sockets = 12000
[clients]
protocol = %q
[fleet]
handshake_ms = 0
protocol = %q
[[fleet.kind]]
name = "echo"
count = 4
cores = 64
speed = 1
slots_per_core = 64
queue_per_core = 64
[[class]]
name = "lookup"
share = 1
effect = "safe"
work_ms = 0.01
dist = "fixed"
aim_ms = 2000
deadline_ms = 4000
worth = 1
[[tenant]]
name = "north"
share = 1
`

// Throughput measures the requests per second of each subject and their CPU time, with a constant number of requests in
// flight. Each subject is one process on one core, and the servers respond immediately. The subjects take turns, so that
// changes in the machine's speed affect all of them.
func Throughput(ctx context.Context, o ThroughputOptions) ([]ThroughputResult, error) {
	all := map[string][]ThroughputResult{}
	var order []string
	for range o.Rounds {
		for _, n := range o.InFlight {
			for _, s := range o.Subjects {
				m, err := measure(ctx, &s, n, o)
				if err != nil {
					return nil, fmt.Errorf("%s, %d in flight: %w", s.Name, n, err)
				}
				key := fmt.Sprint(s.Name, n)
				if all[key] == nil {
					order = append(order, key)
				}
				all[key] = append(all[key], *m)
			}
		}
	}
	var out []ThroughputResult
	for _, key := range order {
		rounds := all[key]
		slices.SortFunc(rounds, func(a, b ThroughputResult) int { return int(a.PerCPU - b.PerCPU) })
		m := rounds[len(rounds)/2]
		m.rounds = rounds
		m.LeastPerCPU, m.MostPerCPU = rounds[0].PerCPU, rounds[len(rounds)-1].PerCPU
		out = append(out, m)
	}
	return out, nil
}

// echoFleet starts servers that respond immediately, and their roster. end closes them.
func echoFleet(sc *scenario.Scenario, rpc bool, sidecars int) (_ *standin.Roster, end func(), err error) {
	roster, err := standin.NewRoster(standin.RosterConfig{MaxQueueWait: time.Second, Clock: standin.StartClock(),
		Observer: judge.New(judge.Config{})}, sidecars)
	if err != nil {
		return nil, nil, err
	}
	var servers []*echoServer
	end = func() {
		for _, e := range servers {
			e.close()
		}
		roster.Close()
	}
	for i := range sc.Servers() {
		e, err := newEchoServer(rpc)
		if err != nil {
			end()
			return nil, nil, err
		}
		servers = append(servers, e)
		addr := e.ln.Addr().String()
		roster.SetNow(standin.Entry{ID: fmt.Sprint("s-", i), Addr: func(int) string { return addr }, Zone: zone, Kind: "echo", Size: 1}, "ready")
	}
	return roster, end, nil
}

func measure(ctx context.Context, s *Subject, inFlight int, o ThroughputOptions) (*ThroughputResult, error) {
	protocol := scenario.HTTP
	if s.RPC {
		protocol = scenario.MsgpackRPC
	}
	sc, err := scenario.Parse("throughput.toml", fmt.Appendf(nil, throughputScenario, protocol, protocol))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "firplank-lab-")
	if err != nil {
		return nil, fmt.Errorf("throughput: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // a temporary folder, which may remain
	roster, end, err := echoFleet(sc, s.RPC, 1)
	if err != nil {
		return nil, err
	}
	defer end()
	path, err := writeConfig(dir, sc, 0, "127.0.0.1:0", roster.Addr(0), roster.Current(0), nil)
	if err != nil {
		return nil, err
	}
	p := &process{program: s.Program, config: path, rpc: s.RPC}
	p.program.Env = append(slices.Clone(p.program.Env), "GOMAXPROCS=1")
	if s.RPC {
		p.options = func(listen string) ([]byte, error) { return sidecarOptions(sc, listen, "", nil) }
	}
	defer p.close()
	if err := p.start(ctx); err != nil {
		return nil, err
	}
	if err := p.awaitReady(ctx); err != nil {
		return nil, err
	}
	addr := p.address()
	if s.RPC {
		addr = p.rpcAddress()
	}
	m := &ThroughputResult{Name: s.Name, InFlight: inFlight}
	if o.IdleConns > 0 {
		if m.IdleConnBytes, err = idleConnBytes(p.cmd.Process.Pid, addr, o.IdleConns); err != nil {
			return nil, err
		}
	}
	return m, m.run(ctx, p, addr, s.RPC, o)
}

// run measures for o.Seconds, after a warm-up of a third of that time.
func (m *ThroughputResult) run(ctx context.Context, p *process, addr string, rpc bool, o ThroughputOptions) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var n loadCounts
	var loading sync.WaitGroup
	loadErr := make(chan error, 1)
	loading.Go(func() { loadErr <- generateLoad(ctx, addr, rpc, m.InFlight, &n) })
	duration := time.Duration(o.Seconds * float64(time.Second))
	pid := p.cmd.Process.Pid
	select {
	case <-time.After(duration / 3):
	case err := <-loadErr:
		return err
	}
	served, cpu, begun := n.served.Load(), processTime(pid), time.Now()
	select {
	case <-time.After(duration):
	case err := <-loadErr:
		return err
	}
	served, cpu = n.served.Load()-served, processTime(pid)-cpu
	took := time.Since(begun)
	m.MemoryKB = residentBytes(pid) >> 10
	stop()
	loading.Wait()
	if err := <-loadErr; err != nil {
		return err
	}
	m.Refused, m.Failed = n.refused.Load(), n.failed.Load()
	if served == 0 || cpu <= 0 {
		return fmt.Errorf("nothing was served: %d refused, %d failed", m.Refused, m.Failed)
	}
	m.PerS = float64(served) / took.Seconds()
	m.PerCPU = float64(served) / cpu.Seconds()
	m.CPU = cpu.Seconds() * 1e6 / float64(served)
	return nil
}

var residentLine = regexp.MustCompile(`(?m)^VmRSS:\s+(\d+) kB$`)

// residentBytes returns the resident memory of a process; 0 if it cannot be read.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	m := residentLine.FindSubmatch(text)
	if m == nil {
		return 0
	}
	kb, _ := strconv.ParseInt(string(m[1]), 10, 64)
	return kb << 10
}

// idleConnBytes opens idle connections and returns by how much the resident memory of the process grows for each. Kernel memory
// is not included.
func idleConnBytes(pid int, addr string, n int) (int64, error) {
	before := residentBytes(pid)
	conns := make([]net.Conn, 0, n)
	defer func() {
		for _, c := range conns {
			_ = c.Close() // the connection is released even where this fails
		}
	}()
	for range n {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return 0, fmt.Errorf("throughput: idle connection %d: %w", len(conns), err)
		}
		conns = append(conns, c)
	}
	time.Sleep(300 * time.Millisecond) // until the last one is accepted
	return (residentBytes(pid) - before) / int64(n), nil
}

// ThroughputTable writes the results, with the ratio to the first subject at the same number in flight.
func ThroughputTable(out io.Writer, all []ThroughputResult) error {
	t := output.NewTable(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	t.Println("through\tin flight\trequests/s\tper processor s\tleast\tmost\tus a " +
		"request\tratio\trefused\tfailed\tMB\tbytes an idle connection\t")
	first := map[int]float64{}
	for _, m := range all {
		if first[m.InFlight] == 0 {
			first[m.InFlight] = m.PerCPU
		}
		t.Printf("%s\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%d\t%d\t%.0f\t%d\t\n", m.Name, m.InFlight, m.PerS, m.PerCPU, m.LeastPerCPU,
			m.MostPerCPU, m.CPU, m.PerCPU/first[m.InFlight], m.Refused, m.Failed, float64(m.MemoryKB)/1024, m.IdleConnBytes)
	}
	return t.Flush()
}

// ThroughputBench writes each round as a line in the format of Go's benchmarks, for tools that compare such lines.
func ThroughputBench(out io.Writer, all []ThroughputResult) error {
	for _, m := range all {
		for _, r := range m.rounds {
			if _, err := fmt.Fprintf(out, "BenchmarkThrough/%s/inflight=%d 1 %.0f ns/op %.0f req/s\n", r.Name, r.InFlight,
				r.CPU*1000, r.PerS); err != nil {
				return err
			}
		}
	}
	return nil
}
