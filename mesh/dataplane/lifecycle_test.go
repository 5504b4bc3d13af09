package dataplane

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	kitlog "github.com/go-kit/log"
	"go.uber.org/goleak"

	"firplank/mesh/codec"
	"firplank/mesh/config"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeControlMachine is a control machine that sends each subscriber one configuration and records the announced entries.
type fakeControlMachine struct {
	announced chan directory.Entry
	closed    chan struct{} // receives a value for each closed connection

	mu    sync.Mutex
	conns []*transport.Conn
}

func (m *fakeControlMachine) HandleFrame(c *transport.Conn, f *wire.FrameT) {
	if f.Kind == wire.Subscribe {
		m.mu.Lock()
		m.conns = append(m.conns, c)
		m.mu.Unlock()
		p := dissemination.NewPublisher(timing.Default().Dissemination)
		p.SetConfig(1, []byte(`{"edition":"00000001","caps":{},"gates":[],"fleets":[{"name":"one"}]}`), nil, 0)
		p.Subscribe(1, 0, 0)
		all, _ := p.Tick(0)
		c.Send(codec.UpdateToFrame(&all[0], config.Pack(p.Text), 0))
	}
	for _, t := range f.Entries {
		if e, complete := codec.EntryFromWire(t, 0); complete {
			m.announced <- e
		}
	}
}

func (m *fakeControlMachine) HandleClose(*transport.Conn) { m.closed <- struct{}{} }

// subscriptions returns the number of received subscriptions.
func (m *fakeControlMachine) subscriptions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.conns)
}

// awaitEntry waits until a matching entry is announced.
func (m *fakeControlMachine) awaitEntry(t *testing.T, matches func(*directory.Entry) bool) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for {
		select {
		case e := <-m.announced:
			if matches(&e) {
				return
			}
		case <-timeout:
			t.Fatal("no matching entry was announced")
		}
	}
}

// close closes the listener and all connections, and waits for the serving goroutine.
func (m *fakeControlMachine) close(ln net.Listener, serving *sync.WaitGroup) {
	_ = ln.Close()
	m.mu.Lock()
	for _, c := range m.conns {
		c.Close()
	}
	m.mu.Unlock()
	serving.Wait()
}

// freePort returns a port that is free at ip.
func freePort(t *testing.T, ip string) int {
	t.Helper()
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }() // an error loses nothing
	return ln.Addr().(*net.TCPAddr).Port
}

const (
	sidecarIP = "127.91.0.2"
	controlIP = "127.91.0.3"
)

// writeSettings writes the settings of a sidecar. It returns the path of the file and the sidecar's readiness and control addresses.
func writeSettings(t *testing.T, peerPort int) (path, readiness, control string) {
	t.Helper()
	addr := func() string { return net.JoinHostPort(sidecarIP, strconv.Itoa(freePort(t, sidecarIP))) }
	readiness, control = addr(), addr()
	text := fmt.Sprintf(`nodeName: n1
ip: %q
zone: za
zones: {za: r}
line: one
appAddr: %q
firstStart: true
addresses: {incoming: %q, outgoing: %q, readiness: %q, control: %q}
sparePorts: [%d, %d]
seedNodes: [%q]
caps: {fileHandles: 1000, linkMbps: 100}
bounds: ["inForceS=3", "graceS=3"]
`, sidecarIP, addr(), addr(), addr(), readiness, control, peerPort, peerPort+1, net.JoinHostPort(controlIP, "1"))
	path = filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, readiness, control
}

// responseStatus returns the status of the response to a request, or 0 without a response.
func responseStatus(method, url, body string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// awaitStatus polls url until the response has the wanted status.
func awaitStatus(t *testing.T, want int, url string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if responseStatus(http.MethodGet, url, "") == want {
			return
		}
	}
	t.Fatalf("%s never answered %d", url, want)
}

// A sidecar becomes ready with its first configuration and announces the local server. At shutdown it announces that it
// drains, and closes its connections and goroutines.
func TestSidecarLifecycle(t *testing.T) {
	port := freePort(t, controlIP)
	ln, err := net.Listen("tcp", net.JoinHostPort(controlIP, strconv.Itoa(port)))
	if err != nil {
		t.Fatal(err)
	}
	machine := &fakeControlMachine{announced: make(chan directory.Entry, 64), closed: make(chan struct{}, 64)}
	var serving sync.WaitGroup
	serving.Go(func() { _ = transport.Serve(ln, machine) })
	defer machine.close(ln, &serving)
	path, readiness, control := writeSettings(t, port)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- Run(ctx, path, nil, kitlog.NewNopLogger(), slog.New(slog.DiscardHandler))
	}()
	awaitStatus(t, http.StatusOK, "http://"+readiness+"/")
	heartbeat := `{"line":"one","address":"a","zone":"za","edition":"1","berths":5,"condition":"accepting","sequence":1}`
	if got := responseStatus(http.MethodPost, "http://"+control+"/Servers.Beat/i-7", heartbeat); got != http.StatusOK {
		t.Errorf("a valid heartbeat is answered by %d", got)
	}
	if got := responseStatus(http.MethodPost, "http://"+control+"/Servers.Beat/i-7", `{"line":"one"}`); got != http.StatusBadRequest {
		t.Errorf("an incomplete heartbeat is answered by %d", got)
	}
	machine.awaitEntry(t, func(e *directory.Entry) bool {
		return e.Server == "i-7" && e.Slots == 5 && e.Service == "one" && e.State == directory.Accepting
	})
	stop()
	machine.awaitEntry(t, func(e *directory.Entry) bool { return e.State == directory.Draining })
	awaitStatus(t, http.StatusServiceUnavailable, "http://"+readiness+"/")
	if err := <-ended; err != nil {
		t.Error(err)
	}
	timeout := time.After(10 * time.Second)
	for range machine.subscriptions() {
		select {
		case <-machine.closed:
		case <-timeout:
			t.Fatal("a connection to the parent stays open")
		}
	}
}

func TestMissingAddressIsRejected(t *testing.T) {
	path, _, control := writeSettings(t, 7000)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err = os.WriteFile(path, []byte(strings.Replace(string(text), ", control: \""+control+"\"", "", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	err = Run(t.Context(), path, nil, kitlog.NewNopLogger(), slog.New(slog.DiscardHandler))
	if !errors.Is(err, ErrAddressMissing) || !strings.Contains(err.Error(), "control") {
		t.Errorf("%v", err)
	}
}
