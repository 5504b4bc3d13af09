package reporting

import (
	"math"
	"strconv"
	"strings"
	"time"

	"firplank/internal/options"
	"firplank/report"
	"firplank/report/collectd"
	"firplank/report/feed"
	"firplank/report/graphite"
)

// nans returns n gauges without a value.
func nans(n int) []float64 {
	all := make([]float64, n)
	for i := range all {
		all[i] = math.NaN()
	}
	return all
}

// seconds converts a setting in seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// backlogCPUShare limits the share of a core that sending a backlog uses.
const backlogCPUShare = 0.02

// basePolicy returns the policy that all receivers share; backlog is a number of intervals per second.
func basePolicy(backlog float64) feed.Policy {
	return feed.Policy{
		BacklogPerSecond:     backlog,
		BacklogTimeShare:     backlogCPUShare,
		AssumeDeliveredAfter: 2 * time.Second,
		StallTimeout:         10 * time.Second,
		MinBackoff:           500 * time.Millisecond,
		MaxBackoff:           15 * time.Second,
	}
}

// Receivers returns the receivers that the options configure. name is the sidecar's, started the start of its process.
func Receivers(o *options.File, name string, started time.Time) []Receiver {
	var all []Receiver
	if o.Graphite.Address != "" {
		all = append(all, graphiteReceiver(&o.Graphite, Prefix(o.Graphite.Prefix, name, started)))
	}
	c := &o.Collectd
	host := c.Host
	if host == "" {
		host = report.Escape(name, maxHostBytes)
	}
	if c.NetworkAddress != "" {
		all = append(all, collectdNetwork(c, host))
	}
	if c.SocketPath != "" {
		all = append(all, collectdSocket(c, host))
	}
	return all
}

// maxHostBytes and maxNameBytes limit the sidecar's name as collectd's host and in Graphite paths.
const (
	maxHostBytes = 63
	maxNameBytes = 200
)

// graphiteReceiver returns a receiver of Graphite's plaintext or pickle protocol.
func graphiteReceiver(g *options.Graphite, prefix string) Receiver {
	form := graphite.Plaintext
	if g.Protocol == options.Pickle {
		form = graphite.Pickle
	}
	enc := graphite.New(form, prefix, g.Tags)
	return Receiver{
		Name:       "graphite",
		Network:    "tcp",
		Address:    g.Address,
		Interval:   seconds(g.IntervalSeconds),
		SpoolBytes: g.SpoolBytes,
		Policy:     basePolicy(g.BacklogPerSecond),
		Encode: func(r *report.Reading, t *report.Table, _ bool) ([][]byte, int, error) {
			enc.Prune(t.Rows())
			return [][]byte{enc.Append(nil, r)}, 0, nil
		},
	}
}

// collectdNetwork returns a receiver of collectd's binary protocol over UDP, which acknowledges nothing.
func collectdNetwork(c *options.Collectd, host string) Receiver {
	apart := c.LatePolicy == options.Separate
	enc, p := collectd.NewEncoder(c.PacketBytes, newSealer(c)), basePolicy(c.BacklogPerSecond)
	p.FireAndForget, p.InOrder = true, !apart
	return Receiver{
		Name:       "collectd-network",
		Network:    "udp",
		Address:    c.NetworkAddress,
		Interval:   seconds(c.IntervalSeconds),
		SpoolBytes: c.SpoolBytes,
		Policy:     p,
		Encode: func(r *report.Reading, _ *report.Table, late bool) ([][]byte, int, error) {
			packets, err := enc.Packets(collectd.ValueLists(host, seconds(c.IntervalSeconds), r, late && apart))
			return packets, 0, err
		},
	}
}

// collectdSocket returns a receiver of collectd's plain text protocol on a Unix socket, which acknowledges each value list.
func collectdSocket(c *options.Collectd, host string) Receiver {
	apart := c.LatePolicy == options.Separate
	p := basePolicy(c.BacklogPerSecond)
	p.Acks, p.InOrder = true, !apart
	return Receiver{
		Name:       "collectd-socket",
		Network:    "unix",
		Address:    c.SocketPath,
		Interval:   seconds(c.IntervalSeconds),
		SpoolBytes: c.SpoolBytes,
		Policy:     p,
		Encode: func(r *report.Reading, _ *report.Table, late bool) ([][]byte, int, error) {
			var b []byte
			lists := collectd.ValueLists(host, seconds(c.IntervalSeconds), r, late && apart)
			for i := range lists {
				b = collectd.AppendPutval(b, &lists[i])
			}
			return [][]byte{b}, len(lists), nil
		},
	}
}

// newSealer returns the sealer that the options configure for collectd's network protocol.
func newSealer(c *options.Collectd) *collectd.Sealer {
	kind := map[string]collectd.Security{options.Sign: collectd.Sign, options.Encrypt: collectd.Encrypt}[c.Security]
	return collectd.NewSealer(kind, c.Username, c.Password)
}

// Prefix replaces {name} and {process} in a prefix by the sidecar's name and the start time of its process, in base 36.
func Prefix(prefix, name string, started time.Time) string {
	return strings.NewReplacer(
		"{name}", report.Escape(name, maxNameBytes), "{process}", strconv.FormatInt(started.Unix(), 36),
	).Replace(prefix)
}
