package sidecar

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"firplank/internal/options"
	"firplank/internal/testbed"
	"firplank/lab/receiver"
)

// testReceivers holds a stand-in for each kind of receiver of reports.
type testReceivers struct {
	plain, pickled *receiver.Carbon
	network        *receiver.Network
	socket         *receiver.Socket
}

func startReceivers(t *testing.T) *testReceivers {
	t.Helper()
	r := &testReceivers{}
	var errs [4]error
	r.plain, errs[0] = receiver.NewCarbon(false)
	r.pickled, errs[1] = receiver.NewCarbon(true)
	r.network, errs[2] = receiver.NewNetwork(receiver.Users{"monitor": "secret"}, func(n int) bool { return n%3 == 1 })
	r.socket, errs[3] = receiver.NewSocket(filepath.Join(t.TempDir(), "collectd"))
	if err := errors.Join(errs[:]...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.plain.Stop()
		r.pickled.Stop()
		r.network.Close()
		r.socket.Stop()
	})
	return r
}

// setOptions sets a configuration's options from their TOML text, with a password for collectd.
func setOptions(t *testing.T, cfg *Config, text string) *Config {
	t.Helper()
	o, err := options.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	o.Collectd.Password = "secret"
	cfg.Options = *o
	return cfg
}

// outageDuration returns how long receivers are unavailable: FIRPLANK_OUTAGE, or a few intervals by default.
func outageDuration(t *testing.T) time.Duration {
	text := os.Getenv("FIRPLANK_OUTAGE")
	if text == "" {
		return 2500 * time.Millisecond
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

const graphiteOptions = "[graphite]\ninterval_s = 1\nprefix = \"f\"\naddress = %q\nprotocol = %q\n"

// outcomeCounts counts requests by class for each outcome: served, rejected and failed.
type outcomeCounts [3]map[string]int64

// startLoad sends requests of the given classes until stop is called, which returns their outcomes.
func (n *testSidecar) startLoad(classes ...string) (stop func() outcomeCounts) {
	var counted outcomeCounts
	for i := range counted {
		counted[i] = map[string]int64{}
	}
	var mu sync.Mutex
	stopped := make(chan bool)
	var clients sync.WaitGroup
	for i, class := range classes {
		clients.Go(func() {
			for {
				select {
				case <-stopped:
					return
				case <-time.After(time.Duration(3+i) * time.Millisecond):
				}
				req := n.request(class)
				req.Header.Set("X-Expires-In", "300m") // otherwise a request that every server rejects would wait until its long deadline
				resp, _ := n.do(req)
				outcome := 2
				switch resp.StatusCode {
				case 200:
					outcome = 0
				case 503:
					outcome = 1
				}
				mu.Lock()
				counted[outcome][class]++
				mu.Unlock()
			}
		})
	}
	return func() outcomeCounts {
		close(stopped)
		clients.Wait()
		return counted
	}
}

// interrupt stops the receivers of a sidecar, starts them again after an outage, and resets the connection to carbon once more.
func (r *testReceivers) interrupt(t *testing.T, carbon *receiver.Carbon, socket bool) {
	t.Helper()
	testbed.Until(t, "an interval was received", func() bool { return carbon.Last("f.reporting.graphite.intervals.total") >= 1 })
	carbon.Stop()
	if socket {
		r.socket.Stop()
	}
	time.Sleep(outageDuration(t))
	carbon.ResetAfter(700) // one more reset, in the middle of a line
	if err := carbon.Start(); err != nil {
		t.Error(err)
	}
	if socket {
		_ = syscall.Unlink(r.socket.Addr())
		if err := r.socket.Start(); err != nil {
			t.Error(err)
		}
	}
	testbed.Until(t, "two breaks were reported to the receiver", func() bool {
		return carbon.Last("f.reporting.graphite.breaks.total") >= 2 || t.Failed()
	})
}

// waitForNetworkTotals waits until collectd's network plugin has received the totals.
func (r *testReceivers) waitForNetworkTotals(t *testing.T, counted outcomeCounts) {
	t.Helper()
	for i, index := range []int{1, 3, 4} {
		for class, want := range counted[i] {
			id := "h-pickle/firplank-" + class + "/firplank_requests"
			testbed.Until(t, fmt.Sprintf("%s comes to %d", id, want), func() bool { return int64(r.network.Last(id, index)) == want })
		}
	}
	if count, longest := r.network.Packets(); count < 6 || longest > 1452 {
		t.Errorf("%d packets, of %d bytes at most", count, longest)
	}
}

// waitForTotals waits until carbon and, if socket is set, collectd's Unix socket have received the totals and intervals whose
// sums are equal to them.
func (r *testReceivers) waitForTotals(t *testing.T, carbon *receiver.Carbon, socket bool, counted outcomeCounts) {
	t.Helper()
	for i, field := range []string{"served", "refused", "failed"} {
		index := map[string]int{"served": 1, "refused": 3, "failed": 4}[field]
		for class, want := range counted[i] {
			path := "f.requests." + class + "." + field
			// The receiver may not have read the last report yet.
			testbed.Until(t, fmt.Sprintf("%s comes to %d in totals and in intervals", path, want), func() bool {
				return int64(carbon.Last(path+".total")) == want && int64(carbon.Sum(path+".count")) == want
			})
			id := "h-plaintext/firplank-" + class + "/firplank_requests"
			if socket {
				testbed.Until(t, fmt.Sprintf("%s comes to %d", id, want), func() bool { return int64(r.socket.Last(id, index)) == want })
			}
		}
	}
	if bad := append(carbon.Malformed(), append(r.network.Malformed(), r.socket.Malformed()...)...); len(bad) > 0 {
		t.Error(bad)
	}
	if _, other := carbon.Overwritten(); other > 0 {
		t.Errorf("%d points were sent twice with different values", other)
	}
}

// Receivers stop and restart under load, and a third of the packets to collectd's network plugin is lost. In the end all totals
// and the sums of the intervals are exactly equal to the clients' counts.
func TestTotalsAgreeAfterReceiverOutages(t *testing.T) {
	r := startReceivers(t)
	var requests atomic.Int64
	server := testbed.ServeHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch n := requests.Add(1); {
		case n%5 == 0:
			w.WriteHeader(500)
		case n%7 == 0:
			w.Header().Set("X-Never-Ran", "1")
			w.WriteHeader(503)
		}
	}))
	for name, carbon := range map[string]*receiver.Carbon{"plaintext": r.plain, "pickle": r.pickled} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := fmt.Sprintf(graphiteOptions, carbon.Addr(), name) + fmt.Sprintf("[collectd]\ninterval_s = 1\nhost = \"h-%s\"\n", name)
			socket := name == "plaintext"
			if socket {
				text += fmt.Sprintf("unix_socket = %q\n", r.socket.Addr())
			} else {
				text += fmt.Sprintf("network = %q\n", r.network.Addr())
			}
			cfg := setOptions(t, testConfig(t, readyMember("s-1", server)), text)
			cfg.Options.Collectd.Security, cfg.Options.Collectd.Username = options.Encrypt, "monitor"
			n := startSidecar(t, cfg)
			stop := n.startLoad("read", "reserve", "pay")
			r.interrupt(t, carbon, socket)
			counted := stop()
			if len(counted[0]) != 3 || len(counted[1]) == 0 || len(counted[2]) == 0 {
				t.Errorf("not all outcomes occurred: %v", counted)
			}
			if !socket { // lost packets are made up for by later totals, so the sidecar must still run
				r.waitForNetworkTotals(t, counted)
			}
			n.shutdown()
			n.done <- testbed.Next(t, n.done)
			r.waitForTotals(t, carbon, socket, counted)
		})
	}
}

// A receiver that accepts connections and never reads, or stops reading in the middle of a line, delays neither requests nor
// reports to other receivers.
func TestStalledReceiverDelaysNoRequests(t *testing.T) {
	for name, stall := range map[string]func(*receiver.Carbon){
		"at once": func(c *receiver.Carbon) { c.Stall(true) }, "in a line": func(c *receiver.Carbon) { c.StallAfter(300) },
	} {
		t.Run(name, func(t *testing.T) { testStalledReceiver(t, stall) })
	}
}

func testStalledReceiver(t *testing.T, stall func(*receiver.Carbon)) {
	stalled, err := receiver.NewCarbon(false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stalled.Stop)
	stall(stalled)
	socket, err := receiver.NewSocket(filepath.Join(t.TempDir(), "collectd"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(socket.Stop)
	server := testbed.NewScriptedServer(t, testbed.Respond(200, "one"))
	cfg := setOptions(t, testConfig(t, readyMember("s-1", server.Addr)), fmt.Sprintf(graphiteOptions, stalled.Addr(), "plaintext")+
		fmt.Sprintf("[collectd]\ninterval_s = 1\nhost = \"h\"\nunix_socket = %q\n", socket.Addr()))
	n := startSidecar(t, cfg)
	var slow atomic.Int64
	for range 200 {
		start := time.Now()
		n.do(n.request("read"))
		if time.Since(start) > time.Second {
			slow.Add(1)
		}
	}
	testbed.Until(t, "collectd has received the total", func() bool { return socket.Last("h/firplank-read/firplank_requests", 1) == 200 })
	if slow.Load() > 0 {
		t.Errorf("%d requests took more than a second", slow.Load())
	}
}

// During shutdown the sidecar sends the open interval, although it would end much later.
func TestShutdownSendsOpenInterval(t *testing.T) {
	carbon, err := receiver.NewCarbon(true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(carbon.Stop)
	server := testbed.NewScriptedServer(t, testbed.Respond(200, "one"))
	text := strings.Replace(fmt.Sprintf(graphiteOptions, carbon.Addr(), "pickle"), "interval_s = 1", "interval_s = 3600", 1)
	n := startSidecar(t, setOptions(t, testConfig(t, readyMember("s-1", server.Addr)), text))
	for range 7 {
		n.do(n.request("read"))
	}
	n.shutdown()
	n.done <- testbed.Next(t, n.done)
	testbed.Until(t, "the last interval has all requests", func() bool { return carbon.Last("f.requests.read.served.total") == 7 })
}
