package options

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"regexp"
	"strings"
)

// Reporting is about what is counted for monitoring; see report.
type Reporting struct {
	MaxPairs int `toml:"pairs"` // of class and tenant that are counted apart; 2,000 where it is 0
}

// Graphite is about reports to a receiver of Graphite's; see internal/reporting.
type Graphite struct {
	Address          string  `toml:"address"`       // host:port, over TCP; empty: none
	Protocol         string  `toml:"protocol"`      // Plaintext, which it is where it is empty, or Pickle
	Prefix           string  `toml:"prefix"`        // "firplank.{name}" where it is empty
	IntervalSeconds  float64 `toml:"interval_s"`    // whole seconds; 10
	Tags             bool    `toml:"tags"`          // labels as tags in place of parts of the path
	SpoolBytes       int     `toml:"spool_bytes"`   // that wait for the receiver at most; 4 MiB
	BacklogPerSecond float64 `toml:"backlog_per_s"` // intervals that are sent in a second of those that waited; 20
}

// Collectd is about reports to collectd.
type Collectd struct {
	NetworkAddress   string  `toml:"network"`       // host:port of its network plugin, over UDP; empty: none
	SocketPath       string  `toml:"unix_socket"`   // path of its Unix socket; empty: none
	Security         string  `toml:"security"`      // None, which it is where it is empty, Sign or Encrypt: of packets
	Username         string  `toml:"username"`      // with Sign and Encrypt
	PasswordFile     string  `toml:"password_file"` // ... whose first line is the password
	Host             string  `toml:"host"`          // under which all is told; the sidecar's name where it is empty
	IntervalSeconds  float64 `toml:"interval_s"`    // 10
	PacketBytes      int     `toml:"packet_bytes"`  // 1452
	SpoolBytes       int     `toml:"spool_bytes"`   // 4 MiB
	BacklogPerSecond float64 `toml:"backlog_per_s"` // 20
	LatePolicy       string  `toml:"late"`          // InOrder, which it is where it is empty, or Apart

	Password string `toml:"-"` // of the file
}

// Receivers is how many receivers are reported to.
func (f *File) ReceiverCount() (n int) {
	for _, address := range []string{f.Graphite.Address, f.Collectd.NetworkAddress, f.Collectd.SocketPath} {
		if address != "" {
			n++
		}
	}
	return n
}

// What Protocol and Security may be.
const (
	Plaintext = "plaintext"
	Pickle    = "pickle"
	None      = "none"
	Sign      = "sign"
	Encrypt   = "encrypt"
	// What waited for collectd goes ahead of what is new, or under identifiers of its own beside it.
	InOrder  = "in_order"
	Separate = "apart"
)

// UsualPrefix is what stands before all series in Graphite where the file does not say.
const DefaultPrefix = "firplank.{name}"

const (
	minSpoolBytes = 64 << 10
	maxSpoolBytes = 1 << 30
	maxPairs      = 1 << 20
)

var prefixPattern = regexp.MustCompile(`^([A-Za-z0-9_-]|\{name\}|\{process\})+(\.([A-Za-z0-9_-]|\{name\}|\{process\})+)*$`)
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,63}$`)

// fillMonitoring checks the tables and puts in what is not set. An error names the key.
func (f *File) applyMonitoringDefaults() error {
	g, c := &f.Graphite, &f.Collectd
	if f.Reporting.MaxPairs < 0 || f.Reporting.MaxPairs > maxPairs {
		return fmt.Errorf("reporting.pairs is %d: want 0 to %d", f.Reporting.MaxPairs, maxPairs)
	}
	setDefault(&g.Protocol, Plaintext)
	setDefault(&g.Prefix, DefaultPrefix)
	setDefault(&c.Security, None)
	for _, r := range []struct {
		key               string
		address           string
		interval, backlog *float64
		spool             *int
	}{
		{"graphite", g.Address, &g.IntervalSeconds, &g.BacklogPerSecond, &g.SpoolBytes}, {"collectd", c.NetworkAddress, &c.IntervalSeconds, &c.BacklogPerSecond, &c.SpoolBytes},
	} {
		setDefault(r.interval, 10)
		setDefault(r.backlog, 20)
		setDefault(r.spool, 4<<20)
		if r.address != "" {
			if _, _, err := net.SplitHostPort(r.address); err != nil {
				return fmt.Errorf("%s: address %q: %w", r.key, r.address, err)
			}
		}
		if v := *r.interval; !(v >= 1 && v <= 3600) || v != math.Trunc(v) {
			return fmt.Errorf("%s.interval_s is %v: want whole seconds, 1 to 3600", r.key, v)
		}
		if v := *r.backlog; !(v >= 0.1 && v <= 1000) {
			return fmt.Errorf("%s.backlog_per_s is %v: want 0.1 to 1000", r.key, v)
		}
		if v := *r.spool; v < minSpoolBytes || v > maxSpoolBytes {
			return fmt.Errorf("%s.spool_bytes is %d: want %d to %d", r.key, v, minSpoolBytes, maxSpoolBytes)
		}
	}
	if g.Protocol != Plaintext && g.Protocol != Pickle {
		return fmt.Errorf("graphite.protocol is %q: want %s or %s", g.Protocol, Plaintext, Pickle)
	}
	if !prefixPattern.MatchString(g.Prefix) {
		return fmt.Errorf("graphite.prefix is %q: want letters, digits, _ and - between dots, and {name} or {process}", g.Prefix)
	}
	return c.applyDefaults()
}

func (c *Collectd) applyDefaults() error {
	setDefault(&c.PacketBytes, 1452)
	setDefault(&c.LatePolicy, InOrder)
	if c.LatePolicy != InOrder && c.LatePolicy != Separate {
		return fmt.Errorf("collectd.late is %q: want %s or %s", c.LatePolicy, InOrder, Separate)
	}
	if c.PacketBytes < 1024 || c.PacketBytes > 65507 {
		return fmt.Errorf("collectd.packet_bytes is %d: want 1024 to 65507", c.PacketBytes)
	}
	if c.Host != "" && !namePattern.MatchString(c.Host) {
		return fmt.Errorf("collectd.host is %q: want 1 to 63 letters, digits, dots, _ and -", c.Host)
	}
	switch c.Security {
	case None:
		return nil
	case Sign, Encrypt:
	default:
		return fmt.Errorf("collectd.security is %q: want %s, %s or %s", c.Security, None, Sign, Encrypt)
	}
	if c.NetworkAddress == "" || !namePattern.MatchString(c.Username) || c.PasswordFile == "" {
		return errors.New("collectd.security: network, username and password_file are wanted with it")
	}
	text, err := os.ReadFile(c.PasswordFile)
	if err != nil {
		return fmt.Errorf("collectd.password_file: %w", err)
	}
	c.Password, _, _ = strings.Cut(string(text), "\n")
	if c.Password == "" {
		return errors.New("collectd.password_file: its first line is empty")
	}
	return nil
}

// usual sets what was not set.
func setDefault[T comparable](v *T, value T) {
	var unset T
	if *v == unset {
		*v = value
	}
}
