package sidecar

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"math"
	"net"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"firplank/balance"
	"firplank/contract"
	"firplank/internal/core"
	rpcfront "firplank/internal/front/msgpackrpc"
	"firplank/internal/options"
	"firplank/internal/poller"
	"firplank/internal/roster"
	"firplank/internal/strictjson"
	"firplank/settings"
)

// idleTimeoutFraction is the sidecar's idle timeout as a fraction of the server's, so that the sidecar closes an idle connection
// before the server does.
const idleTimeoutFraction = 0.8

// Config is the validated configuration of one sidecar: the file named by NODE_CONFIG, options, settings and contracts.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Admin      string   // address of the operators' console; empty: none
	PeerListen string   // address for datagrams of other sidecars
	Peers      []string // addresses of the sidecars by index, for datagrams
	Limits     Limits
	Known      roster.List // the last known server list, which may be stale
	Options    options.File

	Balance          balance.Config
	catalog          *core.Catalog
	methods          *rpcfront.Methods // of MessagePack-RPC; nil if that is disabled
	contracts        *contract.Set     // nil: none
	zones            map[string]int
	kinds            map[string]int
	loadReportFields []string // names of the values in a load report, in the balancer's order

	rereadFile  func() (*Config, error) // reads the file again, ignoring the environment's overrides
	checkPoller func() error            // poller.Check; returns an error if the poller cannot be used

	reuseDelay     time.Duration // minimum time between two requests on a connection to a server
	acceptGrace    time.Duration // new connections are accepted for this time after the shutdown signal
	maxDrain       time.Duration // longest deadline that a drain waits for: the platform kills processes that take longer
	responseMargin time.Duration // the last response is written this long before the end of a drain, so that clients can read it
}

// Limits bounds the machine's resources that all processes of the sidecar may use together. Zero means no limit or, for
// Sockets, the default.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// heapFraction is the fraction of the memory limit that is set as the Go runtime's limit. The rest is for memory that the
// runtime does not count: the program's text and the kernel's socket buffers.
const heapFraction = 0.75

// Apply sets the limits of the Go runtime. The memory limit is divided by the number of processes of the sidecar.
func (l Limits) Apply(processes int) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * heapFraction * (1 << 20) / float64(processes)))
	}
}

// Load reads the configuration file named by NODE_CONFIG. The other NODE_ variables override values in the file.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	cfg, err := parseConfig(text, getenv)
	if err != nil {
		return nil, errors.Wrapf(err, "configuration %s", path)
	}
	cfg.rereadFile = func() (*Config, error) { return Load(configPathEnv(path)) }
	return cfg, nil
}

// configPathEnv returns an environment in which only NODE_CONFIG is set.
func configPathEnv(path string) func(string) string {
	return func(name string) string {
		if name == "NODE_CONFIG" {
			return path
		}
		return ""
	}
}

// parseConfig parses and validates the text of a configuration file. The NODE_ variables of getenv override its values.
func parseConfig(text []byte, getenv func(string) string) (*Config, error) {
	var file struct {
		Name       string          `json:"name"`
		Listen     string          `json:"listen"`
		Discovery  string          `json:"discovery"`
		Admin      string          `json:"admin_addr"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		Seed       string          `json:"seed"`
		Limits     Limits          `json:"limits"`
		Known      roster.List     `json:"known"`
		Settings   json.RawMessage `json:"settings"`
	}
	if err := strictjson.UnmarshalNullable(text, &file); err != nil {
		return nil, err // it states the line
	}
	cfg := &Config{
		Name:           cmp.Or(getenv("NODE_NAME"), file.Name),
		Listen:         cmp.Or(getenv("NODE_LISTEN"), file.Listen),
		Discovery:      cmp.Or(getenv("NODE_DISCOVERY"), file.Discovery),
		Admin:          cmp.Or(getenv("NODE_ADMIN_ADDR"), file.Admin),
		PeerListen:     file.PeerListen,
		Peers:          file.Peers,
		Limits:         file.Limits,
		Known:          file.Known,
		checkPoller:    poller.Check,
		reuseDelay:     defaultReuseDelay,
		acceptGrace:    defaultAcceptGrace,
		maxDrain:       defaultMaxDrain,
		responseMargin: defaultResponseMargin,
	}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("no settings")
	}
	parsed, err := settings.Parse(parseSeed(file.Seed), file.Settings)
	if err != nil {
		return nil, err
	}
	cfg.Balance = parsed.Balance
	return cfg, cfg.bindNames(parsed)
}

// check validates the addresses, limits and known servers, and sets the default number of sockets.
func (c *Config) check() error {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return errors.Wrapf(err, "listen address %q", c.Listen)
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return errors.Wrapf(err, "discovery address %q", c.Discovery)
	}
	if c.Admin != "" {
		if _, err := netip.ParseAddrPort(c.Admin); err != nil {
			return errors.Wrapf(err, "admin_addr %q", c.Admin)
		}
	}
	if l := c.Limits; l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 {
		return errors.Errorf("negative limit: %+v", l)
	}
	if c.Limits.Sockets == 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.Sockets < minSockets {
		return errors.Errorf("limits.sockets is %d: want %d or more", c.Limits.Sockets, minSockets)
	}
	if err := c.Known.Check(); err != nil {
		return errors.Wrap(err, "known")
	}
	return nil
}

// bindNames sets the names that protocols use for the balancer's indexes of zones, kinds, classes, tenants and load-report values.
func (c *Config) bindNames(s *settings.Settings) (err error) {
	c.zones, c.kinds, c.loadReportFields = core.IndexByName(s.Zones), core.IndexByName(s.Kinds), s.Fields
	c.catalog, err = core.NewCatalog(c.Balance.Classes, s.Classes, s.Tenants)
	return err
}

// parseSeed parses the seed as a hexadecimal number. Any other text is hashed.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // a hash's Write does not fail
	return h.Sum64()
}
