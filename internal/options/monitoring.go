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

// Reporting configures the counts for monitoring; see package report.
type Reporting struct {
	MaxPairs int `toml:"pairs"` // of class and tenant that have their own counters; 0: 2,000
}

// Graphite configures reports to Graphite; see internal/reporting.
type Graphite struct {
	Address          string  `toml:"address"`       // host:port, over TCP; empty: no reports
	Protocol         string  `toml:"protocol"`      // Plaintext (the default) or Pickle
	Prefix           string  `toml:"prefix"`        // DefaultPrefix if empty
	IntervalSeconds  float64 `toml:"interval_s"`    // a whole number; default 10
	Tags             bool    `toml:"tags"`          // labels are sent as tags instead of path components
	SpoolBytes       int     `toml:"spool_bytes"`   // limit of intervals that wait for the receiver; default 4 MiB
	BacklogPerSecond float64 `toml:"backlog_per_s"` // rate limit of intervals that have waited; default 20
}

// Collectd configures reports to collectd.
type Collectd struct {
	NetworkAddress   string  `toml:"network"`       // host:port of its network plugin, over UDP; empty: no reports
	SocketPath       string  `toml:"unix_socket"`   // path of its Unix socket; empty: no reports
	Security         string  `toml:"security"`      // of packets: None (the default), Sign or Encrypt
	Username         string  `toml:"username"`      // for Sign and Encrypt
	PasswordFile     string  `toml:"password_file"` // for Sign and Encrypt; its first line is the password
	Host             string  `toml:"host"`          // of all identifiers; the sidecar's name if empty
	IntervalSeconds  float64 `toml:"interval_s"`    // a whole number; default 10
	PacketBytes      int     `toml:"packet_bytes"`  // default 1452
	SpoolBytes       int     `toml:"spool_bytes"`   // default 4 MiB
	BacklogPerSecond float64 `toml:"backlog_per_s"` // default 20
	LatePolicy       string  `toml:"late"`          // of intervals that have waited: InOrder (the default) or Separate

	Password string `toml:"-"` // read from PasswordFile
}

// ReceiverCount returns the number of configured receivers.
func (f *File) ReceiverCount() (n int) {
	for _, address := range []string{f.Graphite.Address, f.Collectd.NetworkAddress, f.Collectd.SocketPath} {
		if address != "" {
			n++
		}
	}
	return n
}

// Values of Protocol, Security and LatePolicy.
const (
	Plaintext = "plaintext"
	Pickle    = "pickle"
	None      = "none"
	Sign      = "sign"
	Encrypt   = "encrypt"
	// Intervals that have waited for collectd are sent before new ones, or under identifiers of their own.
	InOrder  = "in_order"
	Separate = "apart"
)

// DefaultPrefix begins the paths of all series in Graphite if the file has no prefix.
const DefaultPrefix = "firplank.{name}"

const (
	minSpoolBytes = 64 << 10
	maxSpoolBytes = 1 << 30
	maxPairs      = 1 << 20
)

var prefixPattern = regexp.MustCompile(`^([A-Za-z0-9_-]|\{name\}|\{process\})+(\.([A-Za-z0-9_-]|\{name\}|\{process\})+)*$`)
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,63}$`)

// applyMonitoringDefaults checks the tables for monitoring and sets the defaults. An error names the key.
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
		{"graphite", g.Address, &g.IntervalSeconds, &g.BacklogPerSecond, &g.SpoolBytes},
		{"collectd", c.NetworkAddress, &c.IntervalSeconds, &c.BacklogPerSecond, &c.SpoolBytes},
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

// setDefault sets v to a default value if it is unset.
func setDefault[T comparable](v *T, value T) {
	var unset T
	if *v == unset {
		*v = value
	}
}
