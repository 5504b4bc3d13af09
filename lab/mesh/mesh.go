// Package mesh starts a complete small mesh on loopback: core machines and branch machines as real processes, each at an
// address of its own, with stand-ins for the servers that we write ourselves. It owns processes and folders, which it
// ends and removes; what the mesh does with requests is for who calls it to judge.
//
// Begin with Start.
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
	Folder     string // for settings, disks and logs
	Programs   string // folder of firplank-proxy and firplank-control
	Net        int    // the second number of the addresses, 127.Net.x.y, so that two meshes can stand side by side
	Core       int
	Services   map[string]int // branch machines by the service that stands on them
	Work       time.Duration  // of each request at a server
	Zones      []string       // over which the machines of each role are spread in turn; empty: one zone
	ConnRelays bool           // a Between stands ahead of each branch machine's incoming address
	Links      bool           // relays stand ahead of all addresses at which machines reach each other: Mesh.Network
	Seed       uint64         // of the network's random choices
	Bounds     []string       // of the settings; empty: defaultBounds
	// Heartbeat is the interval of the servers' heartbeats; 0: defaultHeartbeat.
	Heartbeat time.Duration
	// Tolerance is how many core machines may be lost at a time.
	Tolerance int
	// Calling is called as a server is about to make a call of its own, within a request: with the id of the call, the machine of the server,
	// and how long it waits; nil: nothing is. It must be safe for concurrent use.
	Calling func(id, machine string, timeout time.Duration)
	Arrived func(Arrival) // called as each request begins to run at a server; nil: nothing is. It must be safe for concurrent use
}

// firstVersion is the version of the servers that a mesh starts with.
const initialVersion = "v1"

const defaultHeartbeat = 300 * time.Millisecond

// defaultBounds are the bounds of settings where a Config has none.
var defaultBounds = []string{"graceS=3", "retryRatio=0.2", "retryWindowS=10", "retrySlack=60"}

// Machine is one process with its settings.
type Machine struct {
	Name, IP   string
	Zone       string
	mesh       *Mesh
	settings   map[string]any
	program    string
	process    *exec.Cmd
	pid        atomic.Int64 // of process
	done       chan struct{}
	Server     *Server        // nil on core machines
	ConnRelay  *ConnRelay     // nil where there is none
	peerRelay  *ConnRelay     // ahead of the address for peers; nil: there is none
	probeRelay *datagramRelay // the same, for datagrams
}

// Mesh is a mesh that runs.
type Mesh struct {
	Core, Branch []*Machine
	Network      *Network // nil without Config.Links
	cfg          Config
	client       *http.Client

	mu   sync.Mutex
	runs map[string]int // by id of a try
}

// ports is the first port of each machine. To it are added, where relays stand ahead of machines: advertisedPort for requests of other
// sidecars, peerPort for peers, which listen at peerListenPort.
const (
	basePort       = 7300
	advertisedPort = basePort + 10
	peerListenPort = basePort + 11
	peerPort       = basePort + 20
	lastPeerPort   = basePort + 35
)

// Start starts all machines. Stop ends them.
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
			mesh: m, program: "firplank-control"})
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip, basePort+6))
		}
	}
	n := 0
	for _, service := range sortedKeys(cfg.Services) {
		for range cfg.Services[service] {
			n++
			ip := fmt.Sprintf("127.%d.1.%d", cfg.Net, n)
			b := &Machine{Name: fmt.Sprintf("branch-%d", n), IP: ip, Zone: cfg.Zones[n%len(cfg.Zones)], mesh: m, program: "firplank-proxy"}
			b.Server = &Server{machine: b, service: service, id: fmt.Sprintf("i-%08d", n), version: initialVersion}
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
		if x.Server != nil {
			if err := x.Server.start(); err != nil {
				m.Stop()
				return nil, err
			}
		}
	}
	return m, nil
}

// openRelays opens the relays ahead of a machine, as far as the mesh has any.
func (x *Machine) openRelays() (err error) {
	address := func(port int) string { return fmt.Sprintf("%s:%d", x.IP, port) }
	cfg, network := &x.mesh.cfg, x.mesh.Network
	if (cfg.ConnRelays || cfg.Links) && x.Server != nil {
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

// All lists all machines.
func (m *Mesh) All() []*Machine { return slices.Concat(m.Core, m.Branch) }

// settingsFile is the content of a machine's settings file; JSON is YAML.
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
	if x.Server == nil {
		settings["dataPath"] = filepath.Join(x.mesh.cfg.Folder, x.Name, "data")
	} else {
		addresses["incoming"], addresses["outgoing"], addresses["readiness"] = address(0), address(4), address(2)
		if x.ConnRelay != nil {
			addresses["advertised"] = fmt.Sprintf("%s:%d", x.IP, advertisedPort)
		}
		settings["appAddr"], settings["line"] = address(1), x.Server.service
	}
	return settings
}

// heartbeat is the interval of the servers' heartbeats.
func (m *Mesh) heartbeat() time.Duration { return cmp.Or(m.cfg.Heartbeat, defaultHeartbeat) }

func (m *Mesh) bounds() []string {
	if len(m.cfg.Bounds) > 0 {
		return m.cfg.Bounds
	}
	return defaultBounds
}

// Start starts a machine's process; first: all of the mesh starts for the first time.
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
	defer func() { _ = log.Close() }() // only read from
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

// PID is the id of a machine's process; 0: none was started.
func (x *Machine) PID() int { return int(x.pid.Load()) }

// Done is closed when the machine's process has ended.
func (x *Machine) Done() <-chan struct{} { return x.done }

// Signal sends a signal to a machine's process.
func (x *Machine) Signal(s syscall.Signal) { _ = x.process.Process.Signal(s) } // fails only where the process has ended

// Kill ends a machine's process at once, and Wipe takes its disk.
func (x *Machine) Kill() {
	x.Signal(syscall.SIGKILL)
	<-x.done
}

// Wipe removes what is on a machine's disk, whose process has ended.
func (x *Machine) Wipe() error { return os.RemoveAll(filepath.Join(x.mesh.cfg.Folder, x.Name, "data")) }

// Stop ends all that Start has started.
func (m *Mesh) Stop() {
	for _, x := range m.All() {
		if x.Server != nil {
			x.CurrentServer().Stop()
		}
		x.closeRelays()
		if x.process != nil && x.process.Process != nil {
			x.Kill()
		}
	}
}

// Log is what a machine has written.
func (x *Machine) Log() string {
	text, _ := os.ReadFile(filepath.Join(x.mesh.cfg.Folder, x.Name, "log"))
	return string(text)
}

// Ready reports whether a branch machine wants clients.
func (x *Machine) Ready() bool {
	status, _, err := x.mesh.call(http.MethodGet, fmt.Sprintf("http://%s:%d/ready", x.IP, basePort+2), nil, nil, time.Second)
	return err == nil && status == http.StatusOK
}

// call makes a call and returns its answer's status and body.
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
	defer func() { _ = resp.Body.Close() }() // the body has been read, or is not wanted
	b, err := io.ReadAll(io.LimitReader(resp.Body, 16<<20))
	return resp.StatusCode, b, err
}

// Put puts a configuration at a core machine.
func (x *Machine) Put(body []byte) (status int, err error) {
	status, _, err = x.mesh.call(http.MethodPost, fmt.Sprintf("http://%s:%d/Timetable.Replace", x.IP, basePort+6), nil, body, 4*time.Second)
	return status, err
}

// Read reads the configuration back.
func (x *Machine) Read() (status int, body []byte, err error) {
	return x.mesh.call(http.MethodGet, fmt.Sprintf("http://%s:%d/Timetable.Read", x.IP, basePort+6), nil, nil, 4*time.Second)
}

// outgoing is the address of a branch machine for its clients.
func (x *Machine) outgoing() string { return net.JoinHostPort(x.IP, strconv.Itoa(basePort+4)) }

// OutgoingURL is the URL of a path at the address of a branch machine for its clients.
func (x *Machine) OutgoingURL(path string) string {
	return fmt.Sprintf("http://%s:%d%s", x.IP, basePort+4, path)
}

// MetricsURL is the URL of a machine's figures.
func (x *Machine) MetricsURL() string {
	port := telemetry.ControlPort
	if x.Server != nil {
		port = telemetry.ProxyPort
	}
	return fmt.Sprintf("http://%s:%d%s", x.IP, port, telemetry.Path)
}

// Reload changes a machine's settings file, as the platform does, and tells its process so (SIGHUP). The order of the seeds changes, and
// nothing else.
func (x *Machine) Reload() error {
	seeds := x.settings["seedNodes"].([]string)
	x.settings["seedNodes"] = append(slices.Clone(seeds[1:]), seeds[0])
	if err := x.writeSettings(); err != nil {
		return err
	}
	x.Signal(syscall.SIGHUP)
	return nil
}

// writeSettings replaces a machine's settings file.
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

// Ask sends a client's request by way of a branch machine.
func (x *Machine) Send(method, host, path, id string, body []byte) (status int, answer []byte, err error) {
	return x.mesh.call(method, fmt.Sprintf("http://%s:%d%s", x.IP, basePort+4, path),
		map[string]string{"Host": host, "Try-Id": id, "Deadline-Ms": "3000"}, body, 4*time.Second)
}

// Runs is how often a try has run.
func (m *Mesh) Runs(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[id]
}

// Await waits until something holds.
func Await(timeout time.Duration, condition string, holds func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errors.New("in vain: " + condition)
}
