// Package mesh starts a complete small mesh on loopback for tests: control machines (core) and sidecars (branch machines) as real
// processes, each at an address of its own, and stand-ins for the applications' servers in this process. It starts and ends processes, and
// injects faults into the links between them. Whether the mesh handles requests correctly is judged by the caller.
//
// Start reading at Start.
package mesh

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"firplank/internal/telemetry"
)

// Config describes a mesh.
type Config struct {
	Folder     string         // for settings, disks and logs
	Programs   string         // folder of firplank-proxy and firplank-control
	Net        int            // second number of the addresses, 127.Net.x.y; meshes that run at the same time need different ones
	Core       int            // number of control machines
	Services   map[string]int // number of branch machines by the service of their servers
	Work       time.Duration  // how long a server works on each request
	Zones      []string       // zones to which machines are assigned in turn; empty: one zone
	ConnRelays bool           // a ConnRelay relays to each branch machine's incoming address
	Links      bool           // relays for all addresses at which machines reach each other, controlled by Mesh.Network
	Seed       uint64         // seed of the network's random choices
	Bounds     []string       // "bounds" in the settings; empty: defaultBounds
	// Heartbeat is the interval of the servers' heartbeats; 0: defaultHeartbeat.
	Heartbeat time.Duration
	// Tolerance is the number of core machines that may be lost at a time.
	Tolerance int
	// Calling is called before a server makes a call of its own within a request, with the id of the call, the server's machine and the
	// time-out of the call. It may be nil, and must be safe for concurrent use.
	Calling func(id, machine string, timeout time.Duration)
	Arrived func(Arrival) // called when a request begins to run at a server; may be nil, must be safe for concurrent use
}

// initialVersion is the version of the servers with which a mesh starts.
const initialVersion = "v1"

const defaultHeartbeat = 300 * time.Millisecond

// defaultBounds are the bounds in the settings if a Config has none.
var defaultBounds = []string{"graceS=3", "retryRatio=0.2", "retryWindowS=10", "retrySlack=60"}

// The programs of core and of branch machines.
const (
	controlProgram = "firplank-control"
	proxyProgram   = "firplank-proxy"
)

// Machine is one process with its settings, its address and, on branch machines, a server beside it.
type Machine struct {
	Name, IP   string
	Zone       string
	mesh       *Mesh
	settings   map[string]any
	program    string
	process    *exec.Cmd
	pid        atomic.Int64 // process id of process
	done       chan struct{}
	server     *Server        // current server, guarded by the mesh's mu; nil on core machines
	ConnRelay  *ConnRelay     // for the incoming address; nil: none
	peerRelay  *ConnRelay     // for the peer address; nil: none
	probeRelay *datagramRelay // for datagrams to the peer address; nil: none
}

// IsCore reports whether the machine is a control machine, which has no server.
func (x *Machine) IsCore() bool { return x.program == controlProgram }

// Mesh is a running mesh.
type Mesh struct {
	Core, Branch []*Machine
	Network      *Network // nil without Config.Links
	cfg          Config
	client       *http.Client

	mu   sync.Mutex
	runs map[string]int // number of runs by request id
}

// basePort is the first port of each machine. With relays, other machines send requests to advertisedPort and messages of peers to
// peerPort, where the relays listen, and the machine listens for peers at peerListenPort.
const (
	basePort       = 7300
	advertisedPort = basePort + 10
	peerListenPort = basePort + 11
	peerPort       = basePort + 20
	lastPeerPort   = basePort + 35
)

// Start starts all machines and servers, and does not wait until they are ready. Stop ends them. After an error nothing is left running.
func Start(cfg Config) (*Mesh, error) {
	if len(cfg.Zones) == 0 {
		cfg.Zones = []string{"one"}
	}
	m := &Mesh{cfg: cfg, runs: map[string]int{}, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if cfg.Links {
		m.Network = newNetwork(cfg.Seed, m.machineOf)
	}
	var seeds []string
	for i := range cfg.Core {
		ip := fmt.Sprintf("127.%d.0.%d", cfg.Net, i+1)
		m.Core = append(m.Core, &Machine{Name: fmt.Sprintf("core-%d", i+1), IP: ip, Zone: cfg.Zones[i%len(cfg.Zones)],
			mesh: m, program: controlProgram})
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip, basePort+6))
		}
	}
	n := 0
	for _, service := range sortedKeys(cfg.Services) {
		for range cfg.Services[service] {
			n++
			ip := fmt.Sprintf("127.%d.1.%d", cfg.Net, n)
			b := &Machine{Name: fmt.Sprintf("branch-%d", n), IP: ip, Zone: cfg.Zones[n%len(cfg.Zones)], mesh: m, program: proxyProgram}
			b.server = &Server{machine: b, service: service, id: fmt.Sprintf("i-%08d", n), version: initialVersion}
			m.Branch = append(m.Branch, b)
		}
	}
	for _, x := range m.All() {
		if err := x.openRelays(); err != nil {
			m.Stop()
			return nil, err
		}
		x.settings = x.settingsFile(seeds)
		if err := x.Start(true); err != nil {
			m.Stop()
			return nil, err
		}
		if !x.IsCore() {
			if err := x.CurrentServer().start(); err != nil {
				m.Stop()
				return nil, err
			}
		}
	}
	return m, nil
}

// openRelays starts a machine's relays, as far as the mesh's configuration has any.
func (x *Machine) openRelays() (err error) {
	address := func(port int) string { return fmt.Sprintf("%s:%d", x.IP, port) }
	cfg, network := &x.mesh.cfg, x.mesh.Network
	if (cfg.ConnRelays || cfg.Links) && !x.IsCore() {
		if x.ConnRelay, err = newConnRelay(address(advertisedPort), address(basePort), x.Name, network, true); err != nil {
			return err
		}
	}
	if !cfg.Links {
		return nil
	}
	if x.peerRelay, err = newConnRelay(address(peerPort), address(peerListenPort), x.Name, network, false); err != nil {
		return err
	}
	x.probeRelay, err = newDatagramRelay(address(peerPort), address(peerListenPort), x.Name, network)
	return err
}

func (x *Machine) closeRelays() {
	if x.ConnRelay != nil {
		x.ConnRelay.close()
	}
	if x.peerRelay != nil {
		x.peerRelay.close()
	}
	if x.probeRelay != nil {
		x.probeRelay.close()
	}
}

func sortedKeys(all map[string]int) []string {
	var keys []string
	for k := range all {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// All returns all machines, core machines first.
func (m *Mesh) All() []*Machine { return slices.Concat(m.Core, m.Branch) }

// settingsFile returns the content of a machine's settings file. It is written in JSON, which is valid YAML.
func (x *Machine) settingsFile(seeds []string) map[string]any {
	address := func(port int) string { return fmt.Sprintf("%s:%d", x.IP, basePort+port) }
	zones := map[string]string{}
	for _, zone := range x.mesh.cfg.Zones {
		zones[zone] = "here"
	}
	settings := map[string]any{
		"nodeName": x.Name, "ip": x.IP, "zone": x.Zone, "region": "here", "zones": zones,
		"sparePorts": []int{peerPort, lastPeerPort}, "seedNodes": seeds, "beatS": x.mesh.heartbeat().Seconds(),
		"bounds": x.mesh.bounds(), "tolerance": map[string]int{"machines": x.mesh.cfg.Tolerance},
		"caps": map[string]any{"fileHandles": 2000, "memoryMb": 280},
	}
	addresses := map[string]string{"control": address(6)}
	settings["addresses"] = addresses
	if x.peerRelay != nil {
		addresses["peerListen"] = fmt.Sprintf("%s:%d", x.IP, peerListenPort)
	}
	if x.IsCore() {
		settings["dataPath"] = filepath.Join(x.mesh.cfg.Folder, x.Name, "data")
	} else {
		addresses["incoming"], addresses["outgoing"], addresses["readiness"] = address(0), address(4), address(2)
		if x.ConnRelay != nil {
			addresses["advertised"] = fmt.Sprintf("%s:%d", x.IP, advertisedPort)
		}
		settings["appAddr"], settings["line"] = address(1), x.Service()
	}
	return settings
}

// heartbeat returns the interval of the servers' heartbeats.
func (m *Mesh) heartbeat() time.Duration { return cmp.Or(m.cfg.Heartbeat, defaultHeartbeat) }

func (m *Mesh) bounds() []string {
	if len(m.cfg.Bounds) > 0 {
		return m.cfg.Bounds
	}
	return defaultBounds
}

// Start starts a machine's process. first is true when the whole mesh starts for the first time.
func (x *Machine) Start(first bool) error {
	folder := filepath.Join(x.mesh.cfg.Folder, x.Name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o755); err != nil {
		return err
	}
	x.settings["firstStart"] = first
	if err := x.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor of the file
	x.process = exec.Command(filepath.Join(x.mesh.cfg.Programs, x.program))
	x.process.Env = append(os.Environ(), "FIRPLANK_BOOT="+x.settingsPath())
	x.process.Stdout, x.process.Stderr = log, log
	if err := x.process.Start(); err != nil {
		return err
	}
	x.pid.Store(int64(x.process.Process.Pid))
	process, done := x.process, make(chan struct{})
	x.done = done
	go func() {
		_ = process.Wait()
		close(done)
	}()
	return nil
}

// PID returns the id of the process that was started last, or 0 if there was none.
func (x *Machine) PID() int { return int(x.pid.Load()) }

// Done is closed when the machine's process has ended.
func (x *Machine) Done() <-chan struct{} { return x.done }

// Signal sends a signal to a machine's process.
func (x *Machine) Signal(s syscall.Signal) { _ = x.process.Process.Signal(s) } // fails only where the process has ended

// Kill kills a machine's process and waits until it has ended.
func (x *Machine) Kill() {
	x.Signal(syscall.SIGKILL)
	<-x.done
}

// Wipe removes the data of a machine, whose process must have ended.
func (x *Machine) Wipe() error { return os.RemoveAll(filepath.Join(x.mesh.cfg.Folder, x.Name, "data")) }

// Stop ends all servers, relays and processes.
func (m *Mesh) Stop() {
	for _, x := range m.All() {
		if !x.IsCore() {
			x.CurrentServer().Stop()
		}
		x.closeRelays()
		if x.process != nil && x.process.Process != nil {
			x.Kill()
		}
	}
}

// Log returns what a machine's processes have logged.
func (x *Machine) Log() string {
	text, _ := os.ReadFile(filepath.Join(x.mesh.cfg.Folder, x.Name, "log"))
	return string(text)
}

// Ready reports whether a branch machine's readiness check succeeds.
func (x *Machine) Ready() bool {
	status, _, err := x.mesh.call(http.MethodGet, fmt.Sprintf("http://%s:%d/ready", x.IP, basePort+2), nil, nil, time.Second)
	return err == nil && status == http.StatusOK
}

// call sends a request and returns the status and body of the response. "Host" in header sets the request's host.
func (m *Mesh) call(method, url string, header map[string]string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		if k == "Host" {
			req.Host = v
		} else {
			req.Header.Set(k, v)
		}
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body was read
	b, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	return resp.StatusCode, b, err
}

// Put sends a configuration to a core machine.
func (x *Machine) Put(body []byte) (status int, err error) {
	status, _, err = x.mesh.call(http.MethodPost, fmt.Sprintf("http://%s:%d/Timetable.Replace", x.IP, basePort+6), nil, body, 4*time.Second)
	return status, err
}

// Read reads the configuration from a core machine.
func (x *Machine) Read() (status int, body []byte, err error) {
	return x.mesh.call(http.MethodGet, fmt.Sprintf("http://%s:%d/Timetable.Read", x.IP, basePort+6), nil, nil, 4*time.Second)
}

// outgoing returns the address of a branch machine for its clients.
func (x *Machine) outgoing() string { return net.JoinHostPort(x.IP, strconv.Itoa(basePort+4)) }

// OutgoingURL returns the URL of a path at a branch machine's address for clients.
func (x *Machine) OutgoingURL(path string) string {
	return fmt.Sprintf("http://%s:%d%s", x.IP, basePort+4, path)
}

// MetricsURL returns the URL of a machine's metrics.
func (x *Machine) MetricsURL() string {
	port := telemetry.ControlPort
	if !x.IsCore() {
		port = telemetry.ProxyPort
	}
	return fmt.Sprintf("http://%s:%d%s", x.IP, port, telemetry.Path)
}

// Reload changes a machine's settings file, as the platform does, and has its process reload it (SIGHUP). Only the order of the seed nodes
// changes.
func (x *Machine) Reload() error {
	seeds := x.settings["seedNodes"].([]string)
	x.settings["seedNodes"] = append(slices.Clone(seeds[1:]), seeds[0])
	if err := x.writeSettings(); err != nil {
		return err
	}
	x.Signal(syscall.SIGHUP)
	return nil
}

// writeSettings replaces a machine's settings file atomically.
func (x *Machine) writeSettings() error {
	text, err := json.MarshalIndent(x.settings, "", " ")
	if err != nil {
		return err
	}
	path := x.settingsPath()
	if err := os.WriteFile(path+".next", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

func (x *Machine) settingsPath() string {
	return filepath.Join(x.mesh.cfg.Folder, x.Name, "settings.yaml")
}

// Send sends a client's request through a branch machine and returns its response. The deadline is 3 s.
func (x *Machine) Send(method, host, path, id string, body []byte) (status int, answer []byte, err error) {
	return x.mesh.call(method, fmt.Sprintf("http://%s:%d%s", x.IP, basePort+4, path),
		map[string]string{"Host": host, "Try-Id": id, "Deadline-Ms": "3000"}, body, 4*time.Second)
}

// Runs returns how often the request with an id has run at servers.
func (m *Mesh) Runs(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[id]
}

// Await polls until holds returns true. After the time-out it returns an error with condition, which describes what was awaited.
func Await(timeout time.Duration, condition string, holds func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errors.New("timed out waiting: " + condition)
}
