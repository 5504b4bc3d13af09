package peers

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"firplank/fleet"
	"firplank/internal/testbed"
)

func openSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Datagrams from unknown addresses, oversized, malformed and duplicate ones must be dropped and counted by reason, while valid ones are
// still processed.
func TestDropsAreCountedByReason(t *testing.T) {
	own, peer, foreign := openSocket(t), openSocket(t), openSocket(t)
	listen := own.LocalAddr().String()
	_ = own.Close()
	tally := NewTally([]string{"read"}, nil, 100)
	agent, err := Open(Config{
		Listen: listen, Peers: []string{listen, peer.LocalAddr().String()}, Tally: tally, Log: slog.New(slog.DiscardHandler),
		Fleet: fleet.Config{Number: 0, Members: 2, Incarnation: 1 << 40, Cells: tally.Cells(), MaxRate: 100},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { agent.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	to := net.UDPAddrFromAddrPort(agent.addrs[0])
	_, _ = foreign.WriteTo([]byte("hello"), to)
	_, _ = peer.WriteTo(bytes.Repeat([]byte{1}, fleet.MaxDatagramSize+1), to)
	_, _ = peer.WriteTo([]byte("fl\x01 no datagram"), to)

	other, err := fleet.New(fleet.Config{Number: 1, Members: 2, Incarnation: 1 << 41, Cells: tally.Cells(), MaxRate: 100})
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range other.Handle(time.Second, fleet.Tick{Counters: []fleet.Counters{{fleet.Received: 7}}}) {
		if a.Kind == fleet.Send {
			_, _ = peer.WriteTo(a.Data, to)
			_, _ = peer.WriteTo(a.Data, to) // a duplicate
		}
	}
	testbed.Until(t, "all datagrams are counted", func() bool {
		v, err := agent.Status(ctx)
		s, ok := v.(*Status)
		return err == nil && ok && s.Dropped.ForeignSender == 1 && s.Dropped.Oversize == 1 && s.Dropped.Unreadable == 1 &&
			s.Dropped.Replayed == 1 &&
			s.Members[1].Received == 7
	})
}

// The tally must keep to the announced rate, from which the others compute their bounds. The error for a missing or duplicate address
// must name the key of the configuration.
func TestTallyKeepsRateAndAddressErrorsNameTheirKey(t *testing.T) {
	tally := NewTally([]string{"read"}, []string{"a"}, 40)
	accepted := 0
	for range 100 {
		if tally.Take(time.Second, 0, 0, false) {
			accepted++
		}
	}
	if accepted != 10 { // the burst: a quarter of a second at 40 requests a second
		t.Errorf("%d accepted at once", accepted)
	}
	for want, err := range map[string]error{
		"peers:": CheckAddresses(0, "127.0.0.1:1", nil), "peer_listen": CheckAddresses(0, "", []string{"127.0.0.1:1"}),
		"are both":     CheckAddresses(0, "127.0.0.1:1", []string{"127.0.0.1:1", "127.0.0.1:1"}),
		"has number 3": CheckAddresses(3, "127.0.0.1:1", []string{"127.0.0.1:1"}),
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v: want %q", err, want)
		}
	}
}
