// Package options reads the sidecar's own file, in TOML: what is newer than the platform's configuration and is off
// unless it stands there. It owns the form of the file and its checks; each table belongs to one subsystem, which is
// given its values and never sees the file.
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

// File is the whole file. The zero value is what an empty file or none means.
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

// Log is about what the log holds.
type Log struct {
	Level slog.Level `toml:"level"` // "debug": with a record twice a second of what the sidecar does; "info" without it
}

// Fleet is about what sidecars tell one another; see fleet and internal/peers. It needs settings that allow it, peers and peer_listen.
type Fleet struct {
	Enabled              bool    `toml:"enabled"`
	MaxRequestsPerSecond float64 `toml:"most_per_s"` // requests that this sidecar takes at most, which the others reckon with; 0: 2000
}

// usualMost is above what a core serves.
const defaultMaxRequestsPerSecond = 2000

// HTTP is about the front for applications; see internal/front/http.
type HTTP struct {
	StandardServer bool    `toml:"standard"` // on the standard library's server, as where the kernel has no other way
	IdleSeconds    float64 `toml:"idle_s"`   // how long a connection may stand between two requests; 0: 5
	// Waiting is the part of the clients' connections that may wait for a request before answers end theirs; 0: a quarter.
	MaxIdleShare float64 `toml:"waiting_share"`
}

// Broker is about contracts between teams; see internal/broker and contract.
type Broker struct {
	ContractsDir      string  `toml:"contracts"`      // a folder of files in TOML; empty: none
	CapacityPerSecond float64 `toml:"capacity_per_s"` // worth that all instances together can serve; 0: not reckoned with
	BudgetShare       float64 `toml:"part"`           // of every budget that is this instance's; 0: one over the number of instances
}

// Operators is about the pages that operators look at.
type Operators struct {
	Listen string `toml:"listen"` // a loopback address; empty: none
}

// Door is about a sidecar that has run out of processor time; see internal/loadshed.
type LoadShedding struct {
	Enabled bool `toml:"enabled"` // turn requests away unread then
}

// MsgpackRPC is about clients and servers that speak MessagePack-RPC; see internal/front/msgpackrpc and
// internal/upstream/msgpackrpc. Without Listen there is no front, without Flavors no back.
type MsgpackRPC struct {
	Listen               string `toml:"listen"`          // address for clients
	MaxFrameBytes        int    `toml:"max_frame_bytes"` // 64 KiB where it is 0; so on below
	MaxDepth             int    `toml:"max_depth"`       // 32
	MaxOpenPerClientConn int    `toml:"max_open"`        // requests open on a client's connection; 1024
	MaxClientConns       int    `toml:"connections"`     // of clients; 256

	Flavors              []string `toml:"flavors"`            // of the roster: servers that speak it
	ConnsPerServer       int      `toml:"server_connections"` // to one server; 2
	MaxOpenPerServerConn int      `toml:"server_open"`        // requests open on one of them; 512
	NotStartedCodes      []string `toml:"never_ran"`          // error codes by which a server says that it has not begun
	AnswerCodes          []string `toml:"answers"`            // error codes that are the application's own answer; "*": all others
	ProbeMethod          string   `toml:"probe"`              // the method that tells how a server is; none: a connection

	Methods []Method `toml:"method"`
}

// Enabled reports whether anything of it is on.
func (m *MsgpackRPC) Enabled() bool { return m.Listen != "" || len(m.Flavors) > 0 }

// Method is a method that clients may call. A param is a position, from 0, or a key of the map that is the first param.
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
	Path             string `toml:"path"`   // of HTTP servers; /api/ and the name where it is empty
	MayNotify        bool   `toml:"notify"` // it may come as a notification
}

// The bounds of what may be set: a typing mistake must not cost all memory.
const (
	maxFrameLimit  = 16 << 20
	maxDepthLimit  = 512
	maxCountLimit  = 1 << 16
	maxIdleSeconds = 7 * 24 * 3600 // seconds
)

// fill checks the table and puts in what is not set. An error names the key.
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
		key         string
		value       *int
		usual, most int
	}{
		{"max_frame_bytes", &m.MaxFrameBytes, 64 << 10, maxFrameLimit}, {"max_depth", &m.MaxDepth, 32, maxDepthLimit},
		{"max_open", &m.MaxOpenPerClientConn, 1024, maxCountLimit}, {"connections", &m.MaxClientConns, 256, maxCountLimit},
		{"server_connections", &m.ConnsPerServer, 2, maxCountLimit}, {"server_open", &m.MaxOpenPerServerConn, 512, maxCountLimit},
	} {
		if *f.value < 0 || *f.value > f.most {
			return fmt.Errorf("msgpack_rpc.%s is %d: want 1 to %d", f.key, *f.value, f.most)
		}
		if *f.value == 0 {
			*f.value = f.usual
		}
	}
	return nil
}

// Load reads and checks a file; an empty path means none. An error names the file and, where one is at fault, the line
// and the key.
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

// Parse reads and checks the text of a file of that name.
func Parse(name string, text []byte) (*File, error) {
	f := &File{}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(f); err != nil {
		return nil, fmt.Errorf("options: %w", WithPosition(name, err))
	}
	if err := f.MsgpackRPC.applyDefaults(); err != nil {
		return nil, fmt.Errorf("options: %s: %w", name, err)
	}
	if v := f.HTTP.IdleSeconds; !(v >= 0 && v <= maxIdleSeconds) {
		return nil, fmt.Errorf("options: %s: http.idle_s is %v: want 0 to %d", name, v, maxIdleSeconds)
	}
	if v := f.HTTP.MaxIdleShare; !(v >= 0 && v <= 1) {
		return nil, fmt.Errorf("options: %s: http.waiting_share is %v: want 0 to 1", name, v)
	}
	if b := &f.Broker; !(b.CapacityPerSecond >= 0) || !(b.BudgetShare >= 0 && b.BudgetShare <= 1) {
		return nil, fmt.Errorf("options: %s: broker: capacity_per_s is %v and part %v: want 0 or more, and 0 to 1", name, b.CapacityPerSecond, b.BudgetShare)
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

// Placed names the file and the line of an error of the TOML decoder, once for each key at fault.
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
