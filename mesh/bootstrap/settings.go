// Package bootstrap reads and validates the settings file of a process, and creates its logger. It defines the format of the file; the
// processes apply the settings.
//
// Start reading at Load.
package bootstrap

import (
	"cmp"
	"net"
	"strconv"
)

// EnvVariable is the environment variable that names the settings file.
const EnvVariable = "FIRPLANK_BOOT"

// Settings is the content of a settings file. Its keys are those of the users' page on deployment; unknown keys are ignored. Settings are
// not changed after they were read, and may be shared.
type Settings struct {
	// NodeName identifies the machine, at most 200 bytes.
	NodeName string `yaml:"nodeName"`
	// Role is the role, of those in the deploy file, that the process runs.
	Role string `yaml:"role"`
	// MachineClass is the kind of the machine.
	MachineClass string `yaml:"machineClass"`
	// IP is the machine's address.
	IP string `yaml:"ip"`
	// Zone and Region are the machine's failure domains.
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Zones maps each zone to its region.
	Zones     map[string]string `yaml:"zones"`
	Addresses Addresses         `yaml:"addresses"`
	// SparePorts are the first and the last port that processes of the mesh may use among themselves, the same on all machines.
	SparePorts []int `yaml:"sparePorts"`
	// SeedNodes are the control addresses (host and port) of some control machines, at least one. They may be down.
	SeedNodes []string `yaml:"seedNodes"`
	// FirstStart means that the mesh starts for the first time, with empty disks.
	FirstStart bool `yaml:"firstStart"`
	// Counted means that the machine is one of those that Tolerance.Machines counts.
	Counted   bool      `yaml:"counted"`
	Resources Resources `yaml:"caps"`
	// DataPath is the folder for files; nil: the machine has no disk.
	DataPath *string `yaml:"dataPath"`
	// HeartbeatIntervalS is the time, in seconds, between two heartbeats of a server. Errors of validation name it by the key of its tag.
	HeartbeatIntervalS float64   `yaml:"beatS" json:"BeatS"`
	Tolerance          Tolerance `yaml:"tolerance"`
	// RawBounds are the bounds of the rules in the form "name=value". Bounds holds them parsed.
	RawBounds []string `yaml:"bounds"`
	// AppAddr is the address of the local server; empty: the machine has none.
	AppAddr string `yaml:"appAddr"`
	// Service is the name of the local server's service.
	Service string `yaml:"line"`
	Bounds  Bounds `yaml:"-"`
}

// Addresses are the addresses (host and port) at which a process listens. It doesn't listen at an empty one.
type Addresses struct {
	// Incoming accepts requests for the local server.
	Incoming string `yaml:"incoming"`
	// Advertised is the address at which other sidecars reach Incoming, if it differs, for example behind a mapped port. Empty: Incoming.
	Advertised string `yaml:"advertised"`
	// PeerListen is the address at which the process listens for its peers, if it differs from that at which they reach it (PeerAddr), for
	// example behind a mapped port. Empty: PeerAddr.
	PeerListen string `yaml:"peerListen"`
	// Outgoing accepts requests of clients and of the local server.
	Outgoing string `yaml:"outgoing"`
	// Readiness serves the platform's readiness checks.
	Readiness string `yaml:"readiness"`
	// Control accepts the local server's heartbeats at a sidecar, and operators' calls at a control machine.
	Control string `yaml:"control"`
}

// Resources are the limits that a machine sets for a process.
type Resources struct {
	CPUShare    float64 `yaml:"cpuShare"` // as a share of one core
	CPUCores    int     `yaml:"cpuCores"`
	MemoryMB    int     `yaml:"memoryMb"`
	FileHandles int     `yaml:"fileHandles"`
	LinkMbps    float64 `yaml:"linkMbps"`
	DiskMB      int     `yaml:"diskMb"`
}

// Tolerance is how many counted machines, zones or regions may be lost at the same time while all rules hold.
type Tolerance struct {
	Machines int `yaml:"machines"`
	Zones    int `yaml:"zones"`
	Regions  int `yaml:"regions"`
}

// Members returns how many members of the control plane's register may be lost at the same time. Members are spread over zones, so that
// the loss of a zone or region is the loss of one member if there are enough zones and regions.
func (t Tolerance) Members() int { return max(t.Machines, t.Zones, t.Regions) }

// PeerAddr returns the address at which the other processes of the mesh reach this one.
func (s *Settings) PeerAddr() string { return s.peerAddrAt(s.IP) }

// PeerListenAddr returns the address at which this process listens for its peers.
func (s *Settings) PeerListenAddr() string { return cmp.Or(s.Addresses.PeerListen, s.PeerAddr()) }

// PeerAddrOf returns the address at which the processes of the mesh reach a machine, given any address of it, with or without a port. The
// port for peers is the same on all machines.
func (s *Settings) PeerAddrOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		host = addr
	}
	return s.peerAddrAt(host)
}

func (s *Settings) peerAddrAt(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(s.SparePorts[0]))
}

// SeedPeerAddrs returns the addresses at which peers reach the control machines of SeedNodes.
func (s *Settings) SeedPeerAddrs() []string {
	var addrs []string
	for _, seed := range s.SeedNodes {
		addrs = append(addrs, s.PeerAddrOf(seed))
	}
	return addrs
}
