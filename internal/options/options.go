// Package options reads the sidecar's options file in TOML. It has the features that are newer than the platform's configuration;
// they are off unless the file enables them. The package owns the format of the file and its checks. Each table belongs to
// one subsystem, which gets the values and doesn't depend on the file.
package options

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"firplank/internal/operators"
)

// File holds the whole file. The zero value stands for an empty or no file.
type File struct {
	LoadShedding LoadShedding `toml:"door"`
	HTTP         HTTP         `toml:"http"`
	MsgpackRPC   MsgpackRPC   `toml:"msgpack_rpc"`
	Broker       Broker       `toml:"broker"`
	Operators    Operators    `toml:"operators"`
	Reporting    Reporting    `toml:"reporting"`
	Graphite     Graphite     `toml:"graphite"`
	Collectd     Collectd     `toml:"collectd"`
	Log          Log          `toml:"log"`
	Fleet        Fleet        `toml:"fleet"`
}

// Log configures the log.
type Log struct {
	Level slog.Level `toml:"level"` // "debug" includes a record of the sidecar's state twice a second, "info" doesn't
}

// Fleet configures the exchange of updates between sidecars; see packages fleet and internal/peers. It needs settings that allow
// it, peers and peer_listen.
type Fleet struct {
	Enabled              bool    `toml:"enabled"`
	MaxRequestsPerSecond float64 `toml:"most_per_s"` // request rate limit of this sidecar, which it announces to the others; 0: 2000
}

// defaultMaxRequestsPerSecond is more than one core can serve.
const defaultMaxRequestsPerSecond = 2000

// HTTP configures the front for applications; see internal/front/http.
type HTTP struct {
	StandardServer     bool    `toml:"standard"` // use the standard library's server, as on kernels without the polling one
	IdleTimeoutSeconds float64 `toml:"idle_s"`   // time that a connection may be idle between two requests; 0: 5
	// MaxIdleFraction is the fraction of the limit of client connections that may be idle. Above it, answers close theirs. 0: a quarter.
	MaxIdleFraction float64 `toml:"waiting_share"`
}

// Broker configures contracts between teams; see internal/broker and contract.
type Broker struct {
	ContractsDir      string  `toml:"contracts"`      // directory of TOML files; empty: no contracts
	CapacityPerSecond float64 `toml:"capacity_per_s"` // value that all instances together can serve per second; 0: unknown
	BudgetShare       float64 `toml:"part"`           // this instance's share of every budget; 0: one over the number of instances
}

// Operators configures the pages for operators.
type Operators struct {
	Listen string `toml:"listen"` // a loopback address; empty: no pages
}

// LoadShedding configures what the sidecar does when it runs out of CPU time; see internal/loadshed.
type LoadShedding struct {
	Enabled bool `toml:"enabled"` // reject requests unread
}

// MsgpackRPC configures clients and servers that speak MessagePack-RPC; see internal/front/msgpackrpc and
// internal/upstream/msgpackrpc. There is no front without Listen, and no back end without Flavors.
type MsgpackRPC struct {
	Listen               string `toml:"listen"`          // address for clients
	MaxFrameBytes        int    `toml:"max_frame_bytes"` // 0: 64 KiB
	MaxDepth             int    `toml:"max_depth"`       // 0: 32
	MaxOpenPerClientConn int    `toml:"max_open"`        // limit of open requests on a client's connection; 0: 1024
	MaxClientConns       int    `toml:"connections"`     // limit of clients' connections; 0: 256

	Flavors              []string `toml:"flavors"`            // flavors in the roster whose servers speak MessagePack-RPC
	ConnsPerServer       int      `toml:"server_connections"` // connections to one server; 0: 2
	MaxOpenPerServerConn int      `toml:"server_open"`        // limit of open requests on each of them; 0: 512
	NotStartedCodes      []string `toml:"never_ran"`          // error codes that mean that the request has not started
	AnswerCodes          []string `toml:"answers"`            // error codes that are an application's answer, not a failure; "*": all others
	ProbeMethod          string   `toml:"probe"`              // method of health checks; empty: connecting is the check

	Methods []Method `toml:"method"`
}

// Enabled reports whether the front or the back end is enabled.
func (m *MsgpackRPC) Enabled() bool { return m.Listen != "" || len(m.Flavors) > 0 }

// Method describes a method that clients may call. A param is a position, from 0, or a key of the map that is the first
// parameter.
type Method struct {
	Name             string `toml:"name"`
	Class            string `toml:"class"`
	Tenant           string `toml:"tenant"`
	TenantParam      any    `toml:"tenant_param"`
	KeyParam         any    `toml:"key_param"`
	IdempotencyParam any    `toml:"idempotency_param"`
	DeadlineParam    any    `toml:"deadline_param_ms"`
	TraceParam       any    `toml:"trace_param"`
	TokenParam       any    `toml:"token_param"`
	RepeatParam      any    `toml:"repeat_param"`
	Path             string `toml:"path"`   // on HTTP servers; /api/ and the name if empty
	MayNotify        bool   `toml:"notify"` // clients may send it as a notification
}

// Upper limits of settings, so that a typing mistake doesn't exhaust the memory.
const (
	maxFrameBytesLimit = 16 << 20
	maxDepthLimit      = 512
	maxCountLimit      = 1 << 16
	maxIdleSeconds     = 7 * 24 * 3600
)

// applyDefaults checks the table and sets the defaults. An error names the key.
func (m *MsgpackRPC) applyDefaults() error {
	if m.Listen != "" {
		if _, err := netip.ParseAddrPort(m.Listen); err != nil {
			return fmt.Errorf("msgpack_rpc.listen: %w", err)
		}
		if len(m.Methods) == 0 {
			return errors.New("msgpack_rpc.listen: there is no msgpack_rpc.method that a client could call")
		}
	}
	for _, f := range []struct {
		key                    string
		value                  *int
		defaultValue, maxValue int
	}{
		{"max_frame_bytes", &m.MaxFrameBytes, 64 << 10, maxFrameBytesLimit}, {"max_depth", &m.MaxDepth, 32, maxDepthLimit},
		{"max_open", &m.MaxOpenPerClientConn, 1024, maxCountLimit}, {"connections", &m.MaxClientConns, 256, maxCountLimit},
		{"server_connections", &m.ConnsPerServer, 2, maxCountLimit}, {"server_open", &m.MaxOpenPerServerConn, 512, maxCountLimit},
	} {
		if *f.value < 0 || *f.value > f.maxValue {
			return fmt.Errorf("msgpack_rpc.%s is %d: want 1 to %d", f.key, *f.value, f.maxValue)
		}
		if *f.value == 0 {
			*f.value = f.defaultValue
		}
	}
	return nil
}

// Load reads and checks a file. An empty path stands for no file. An error names the file and, if a line or key is invalid, that
// line and key.
func Load(path string) (*File, error) {
	if path == "" {
		return &File{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("options: %w", err)
	}
	return Parse(path, text)
}

// Parse reads and checks the text of a file; name is used in errors.
func Parse(name string, text []byte) (*File, error) {
	f := &File{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(f); err != nil {
		return nil, fmt.Errorf("options: %w", WithPosition(name, err))
	}
	if err := f.MsgpackRPC.applyDefaults(); err != nil {
		return nil, fmt.Errorf("options: %s: %w", name, err)
	}
	if v := f.HTTP.IdleTimeoutSeconds; !(v >= 0 && v <= maxIdleSeconds) {
		return nil, fmt.Errorf("options: %s: http.idle_s is %v: want 0 to %d", name, v, maxIdleSeconds)
	}
	if v := f.HTTP.MaxIdleFraction; !(v >= 0 && v <= 1) {
		return nil, fmt.Errorf("options: %s: http.waiting_share is %v: want 0 to 1", name, v)
	}
	if b := &f.Broker; !(b.CapacityPerSecond >= 0) || !(b.BudgetShare >= 0 && b.BudgetShare <= 1) {
		return nil, fmt.Errorf("options: %s: broker: capacity_per_s is %v and part %v: want 0 or more, and 0 to 1",
			name, b.CapacityPerSecond, b.BudgetShare)
	}
	if v := f.Fleet.MaxRequestsPerSecond; !(v >= 0 && v <= 1e6) {
		return nil, fmt.Errorf("options: %s: fleet.most_per_s is %v: want 0 to 1000000", name, v)
	} else if v == 0 {
		f.Fleet.MaxRequestsPerSecond = defaultMaxRequestsPerSecond
	}
	if err := f.applyMonitoringDefaults(); err != nil {
		return nil, fmt.Errorf("options: %s: %w", name, err)
	}
	if f.Operators.Listen != "" {
		if err := operators.CheckAddress(f.Operators.Listen); err != nil {
			return nil, fmt.Errorf("options: %s: operators.listen: %w", name, err)
		}
	}
	return f, nil
}

// WithPosition adds the file and line to an error of the TOML decoder, and for unknown keys to each of them.
func WithPosition(name string, err error) error {
	var unknown *toml.StrictMissingError
	var at *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		var all []error
		for _, e := range unknown.Errors {
			row, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: unknown key %s", name, row, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	case errors.As(err, &at):
		row, _ := at.Position()
		return fmt.Errorf("%s:%d: %w", name, row, err)
	}
	return fmt.Errorf("%s: %w", name, err)
}
