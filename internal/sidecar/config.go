package sidecar

import (
	"bytes"
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
	"firplank/settings"
)

// idleTimeoutShare is the part of the time after which a server closes an idle connection after which the sidecar closes it.
const idleTimeoutFraction = 0.8

// Config is the checked configuration of one sidecar: the file that NODE_CONFIG names, options, settings and contracts.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Admin      string   // address of operators' calls; empty: none
	PeerListen string   // address for datagrams of other sidecars
	Peers      []string // their addresses, by number
	Limits     Limits
	Known      roster.List // the servers as last listed, which may be stale
	Options    options.File

	Balance          balance.Config
	catalog          *core.Catalog
	methods          *rpcfront.Methods // of MessagePack-RPC; nil where that is off
	contracts        *contract.Set     // nil without any
	zones            map[string]int
	kinds            map[string]int
	loadReportFields []string // the figures of a load report, in the balancer's order

	rereadFile  func() (*Config, error) // reads the file again, which then overrides the environment
	checkPoller func() error            // whether the kernel's readiness is available: poller.Check

	reuseDelay     time.Duration // how long a connection to a server rests between two requests
	acceptGrace    time.Duration // how long new connections are accepted after the signal to end
	maxDrain       time.Duration // the longest deadline that a drain waits for: the platform kills whoever takes longer
	responseMargin time.Duration // how long before the end of a drain the last response is written, so that it can be read
}

// Limits bound what all processes of the sidecar may use of the machine. Zero is no limit or, of sockets, the default.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// heapShare is the part of the memory limit that the Go runtime gets; the rest is for what it does not count: the program's
// text and the kernel's socket buffers.
const heapFraction = 0.75

// Apply sets the Go runtime's limits to the part of one of so many processes of the sidecar.
func (l Limits) Apply(processes int) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * heapFraction * (1 << 20) / float64(processes)))
	}
}

// Load reads the configuration that NODE_CONFIG names. The other NODE_ variables override the file.
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

// onlyPath is an environment that names the configuration's file and nothing else.
func configPathEnv(path string) func(string) string {
	return func(name string) string {
		if name == "NODE_CONFIG" {
			return path
		}
		return ""
	}
}

// parseConfig reads a configuration's text, which the NODE_ variables of getenv override.
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
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, addLineNumber(text, err)
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

// withLine adds the line to an error of the JSON decoder, where it has the offset.
func addLineNumber(text []byte, err error) error {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	offset := int64(-1)
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
	}
	if offset < 0 || offset > int64(len(text)) {
		return err
	}
	return errors.Wrapf(err, "line %d", 1+bytes.Count(text[:offset], []byte("\n")))
}

// check checks the addresses and limits, and sets the default of the latter.
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
		return errors.Errorf("a limit below 0: %+v", l)
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

// bindNames sets the names that protocols use for what the balancer numbers: zones, kinds, classes, tenants, load figures.
func (c *Config) bindNames(s *settings.Settings) (err error) {
	c.zones, c.kinds, c.loadReportFields = core.IndexByName(s.Zones), core.IndexByName(s.Kinds), s.Fields
	c.catalog, err = core.NewCatalog(c.Balance.Classes, s.Classes, s.Tenants)
	return err
}

// parseSeed reads the seed as a hexadecimal number, or hashes any other text.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // a hash's Write does not fail
	return h.Sum64()
}
