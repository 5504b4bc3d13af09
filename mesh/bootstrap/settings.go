// Package bootstrap reads and validates the settings file of a process, and creates its logger. It owns the form of the file; what a
// process does with the settings is not its concern.
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

// Settings is the content of a settings file, whose keys are those of the users' page on deployment; unknown keys are ignored. It is not
// changed after it was read, and may be shared.
type Settings struct {
	// NodeName identifies the machine, at most 200 bytes.
	NodeName string `yaml:"nodeName"`
	// Role is the role of the deploy file that the process runs.
	Role string `yaml:"role"`
	// MachineClass is the kind of the machine.
	MachineClass string `yaml:"machineClass"`
	// IP is the machine's address.
	IP string `yaml:"ip"`
	// Zone and Region are the machine's failure domains.
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Zones holds the region of each zone.
	Zones     map[string]string `yaml:"zones"`
	Addresses Addresses         `yaml:"addresses"`
	// SparePorts are the first and the last port that processes of the mesh may use among themselves, the same on all machines.
	SparePorts []int `yaml:"sparePorts"`
	// SeedNodes are the control addresses (host and port) of some control machines, at least one. They may be down.
	SeedNodes []string `yaml:"seedNodes"`
	// FirstStart: the mesh starts for the first time, with empty disks.
	FirstStart bool `yaml:"firstStart"`
	// Counted: the machine is one of those that Tolerance bounds.
	Counted   bool      `yaml:"counted"`
	Resources Resources `yaml:"caps"`
	// DataPath is the folder for files; nil: there is no disk.
	DataPath *string `yaml:"dataPath"`
	// HeartbeatIntervalS is the time, in seconds, between two heartbeats of a server. Errors of validation name it by the key of its tag.
	HeartbeatIntervalS float64   `yaml:"beatS" json:"BeatS"`
	Tolerance          Tolerance `yaml:"tolerance"`
	// RawBounds are the bounds of the rules as "name=figure"; Bounds holds them parsed.
	RawBounds []string `yaml:"bounds"`
	// AppAddr is the address of the local server; empty: the machine has none.
	AppAddr string `yaml:"appAddr"`
	// Service is the name of the local server's service.
	Service string `yaml:"line"`
	Bounds  Bounds `yaml:"-"`
}

// Addresses are the addresses (host and port) that a process listens at; empty: it doesn't.
type Addresses struct {
	// Incoming takes requests for the local server.
	Incoming string `yaml:"incoming"`
	// Advertised is where other sidecars reach Incoming, if that is elsewhere, as behind a port that is mapped. Empty: at Incoming.
	Advertised string `yaml:"advertised"`
	// PeerListen is where the process listens for its peers, if they reach it elsewhere (PeerAddr), as behind a port that is mapped.
	// Empty: at PeerAddr.
	PeerListen string `yaml:"peerListen"`
	// Outgoing takes requests of clients and of the local server.
	Outgoing string `yaml:"outgoing"`
	// Readiness answers the platform's readiness checks.
	Readiness string `yaml:"readiness"`
	// Control takes heartbeats, or the calls of operators.
	Control string `yaml:"control"`
}

// Resources is what a machine grants a process.
type Resources struct {
	CPUShare    float64 `yaml:"cpuShare"` // part of a core
	CPUCores    int     `yaml:"cpuCores"`
	MemoryMB    int     `yaml:"memoryMb"`
	FileHandles int     `yaml:"fileHandles"`
	LinkMbps    float64 `yaml:"linkMbps"`
	DiskMB      int     `yaml:"diskMb"`
}

// Tolerance is how much may be lost at the same time while all rules hold: machines that are counted, or zones, or regions.
type Tolerance struct {
	Machines int `yaml:"machines"`
	Zones    int `yaml:"zones"`
	Regions  int `yaml:"regions"`
}

// Members returns how many members of the control plane's register may be lost at the same time. They are spread over zones, so that
// the loss of a zone or a region takes one of them where there are enough.
func (t Tolerance) Members() int { return max(t.Machines, t.Zones, t.Regions) }

// PeerAddr returns the address at which the other processes of the mesh reach this one.
func (s *Settings) PeerAddr() string { return s.peerAddrAt(s.IP) }

// PeerListenAddr returns the address at which this process listens for its peers.
func (s *Settings) PeerListenAddr() string { return cmp.Or(s.Addresses.PeerListen, s.PeerAddr()) }

// PeerAddrOf returns the address at which the processes of the mesh reach a machine, of which any address is given, with a port or without:
// the port is the same on all machines.
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

// SeedPeerAddrs returns the addresses at which the control machines named in the settings are reached by their peers.
func (s *Settings) SeedPeerAddrs() []string {
	var addrs []string
	for _, seed := range s.SeedNodes {
		addrs = append(addrs, s.PeerAddrOf(seed))
	}
	return addrs
}
