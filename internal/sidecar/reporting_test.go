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

// receivers are stand-ins for all that can be reported to.
type receivers struct {
	plain, pickled *receiver.Carbon
	network        *receiver.Network
	socket         *receiver.Socket
}

func startReceivers(t *testing.T) *receivers {
	t.Helper()
	r := &receivers{}
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

// reportTo gives a sidecar options in words.
func reportTo(t *testing.T, cfg *Config, text string) *Config {
	t.Helper()
	o, err := options.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	o.Collectd.Password = "secret"
	cfg.Options = *o
	return cfg
}

// outage is how long receivers are away: FIRPLANK_OUTAGE, or some intervals.
func outage(t *testing.T) time.Duration {
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

const graphiteTo = "[graphite]\ninterval_s = 1\nprefix = \"f\"\naddress = %q\nprotocol = %q\n"

// ends counts how requests ended, by class: served, refused and failed.
type ends [3]map[string]int64

// loadOf sends requests of three classes until it is stopped, which returns how they ended.
func (n *node) loadOf(classes ...string) (stop func() ends) {
	var counted ends
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
				req.Header.Set("X-Expires-In", "300m") // or one that no server takes would wait for long
				resp, _ := n.do(req)
				kind := 2
				switch resp.StatusCode {
				case 200:
					kind = 0
				case 503:
					kind = 1
				}
				mu.Lock()
				counted[kind][class]++
				mu.Unlock()
			}
		})
	}
	return func() ends {
		close(stopped)
		clients.Wait()
		return counted
	}
}

// breakOff stops the receivers of a sidecar, starts them after an outage, and breaks the carbon's connection once more.
func (r *receivers) breakOff(t *testing.T, carbon *receiver.Carbon, socket bool) {
	t.Helper()
	testbed.Until(t, "an interval has come", func() bool { return carbon.Last("f.reporting.graphite.intervals.total") >= 1 })
	carbon.Stop()
	if socket {
		r.socket.Stop()
	}
	time.Sleep(outage(t))
	carbon.ResetAfter(700) // once more, in the middle of a line
	if err := carbon.Start(); err != nil {
		t.Error(err)
	}
	if socket {
		_ = syscall.Unlink(r.socket.Addr())
		if err := r.socket.Start(); err != nil {
			t.Error(err)
		}
	}
	testbed.Until(t, "the receiver has heard of two breaks", func() bool {
		return carbon.Last("f.reporting.graphite.breaks.total") >= 2 || t.Failed()
	})
}

// agreeOverNetwork waits until collectd's network plugin has the totals.
func (r *receivers) agreeOverNetwork(t *testing.T, counted ends) {
	t.Helper()
	for i, at := range []int{1, 3, 4} {
		for class, want := range counted[i] {
			id := "h-pickle/firplank-" + class + "/firplank_requests"
			testbed.Until(t, fmt.Sprintf("%s comes to %d", id, want), func() bool { return int64(r.network.Last(id, at)) == want })
		}
	}
	if count, longest := r.network.Packets(); count < 6 || longest > 1452 {
		t.Errorf("%d packets, of %d bytes at most", count, longest)
	}
}

// agree waits until carbon, and collectd's socket where that is used, have the totals and the sums of the intervals.
func (r *receivers) agree(t *testing.T, carbon *receiver.Carbon, socket bool, counted ends) {
	t.Helper()
	for i, field := range []string{"served", "refused", "failed"} {
		at := map[string]int{"served": 1, "refused": 3, "failed": 4}[field]
		for class, want := range counted[i] {
			path := "f.requests." + class + "." + field
			// What was written last may yet be on its way.
			testbed.Until(t, fmt.Sprintf("%s comes to %d in totals and in intervals", path, want), func() bool {
				return int64(carbon.Last(path+".total")) == want && int64(carbon.Sum(path+".count")) == want
			})
			id := "h-plaintext/firplank-" + class + "/firplank_requests"
			if socket {
				testbed.Until(t, fmt.Sprintf("%s comes to %d", id, want), func() bool { return int64(r.socket.Last(id, at)) == want })
			}
		}
	}
	if bad := append(carbon.Malformed(), append(r.network.Malformed(), r.socket.Malformed()...)...); len(bad) > 0 {
		t.Error(bad)
	}
	if _, other := carbon.Overwritten(); other > 0 {
		t.Errorf("%d points were told twice with different values", other)
	}
}

// While receivers stop and come back, and a third of the packets to collectd's network plugin gets lost, load goes on. In the
// end all totals agree to the request with what the clients counted, and so do the sums of the intervals.
func TestTotalsAgreeThroughOutages(t *testing.T) {
	r := startReceivers(t)
	var came atomic.Int64
	server := testbed.ServeHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch n := came.Add(1); {
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
			text := fmt.Sprintf(graphiteTo, carbon.Addr(), name) + fmt.Sprintf("[collectd]\ninterval_s = 1\nhost = \"h-%s\"\n", name)
			socket := name == "plaintext"
			if socket {
				text += fmt.Sprintf("unix_socket = %q\n", r.socket.Addr())
			} else {
				text += fmt.Sprintf("network = %q\n", r.network.Addr())
			}
			cfg := reportTo(t, testConfig(t, ready("s-1", server)), text)
			cfg.Options.Collectd.Security, cfg.Options.Collectd.Username = options.Encrypt, "monitor"
			n := startNode(t, cfg)
			stop := n.loadOf("read", "reserve", "pay")
			r.breakOff(t, carbon, socket)
			counted := stop()
			if len(counted[0]) != 3 || len(counted[1]) == 0 || len(counted[2]) == 0 {
				t.Errorf("not all ends occurred: %v", counted)
			}
			if !socket { // whatever was lost, a later total tells it: the sidecar goes on
				r.agreeOverNetwork(t, counted)
			}
			n.end()
			n.ended <- testbed.Next(t, n.ended)
			r.agree(t, carbon, socket, counted)
		})
	}
}

// A receiver that takes connections and never reads, or stops in the middle of a line, holds nothing up but itself.
func TestAStalledReceiverSlowsNobody(t *testing.T) {
	for name, stall := range map[string]func(*receiver.Carbon){
		"at once": func(c *receiver.Carbon) { c.Stall(true) }, "in a line": func(c *receiver.Carbon) { c.StallAfter(300) },
	} {
		t.Run(name, func(t *testing.T) { besideAStalledOne(t, stall) })
	}
}

func besideAStalledOne(t *testing.T, stall func(*receiver.Carbon)) {
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
	cfg := reportTo(t, testConfig(t, ready("s-1", server.Addr)), fmt.Sprintf(graphiteTo, stalled.Addr(), "plaintext")+
		fmt.Sprintf("[collectd]\ninterval_s = 1\nhost = \"h\"\nunix_socket = %q\n", socket.Addr()))
	n := startNode(t, cfg)
	var slow atomic.Int64
	for range 200 {
		began := time.Now()
		n.do(n.request("read"))
		if time.Since(began) > time.Second {
			slow.Add(1)
		}
	}
	testbed.Until(t, "collectd is told all the same", func() bool { return socket.Last("h/firplank-read/firplank_requests", 1) == 200 })
	if slow.Load() > 0 {
		t.Errorf("%d requests took more than a second", slow.Load())
	}
}

// Told to end, a sidecar sends the interval that is open, though it is not over for a long time.
func TestTheLastIntervalIsSent(t *testing.T) {
	carbon, err := receiver.NewCarbon(true)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(carbon.Stop)
	server := testbed.NewScriptedServer(t, testbed.Respond(200, "one"))
	text := strings.Replace(fmt.Sprintf(graphiteTo, carbon.Addr(), "pickle"), "interval_s = 1", "interval_s = 3600", 1)
	n := startNode(t, reportTo(t, testConfig(t, ready("s-1", server.Addr)), text))
	for range 7 {
		n.do(n.request("read"))
	}
	n.end()
	n.ended <- testbed.Next(t, n.ended)
	testbed.Until(t, "the last interval tells of all requests", func() bool { return carbon.Last("f.requests.read.served.total") == 7 })
}
