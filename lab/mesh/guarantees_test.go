package mesh

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startWithBounds starts a mesh with the bounds of the users' pages, and waits until each branch machine serves.
func startWithBounds(t *testing.T, cfg Config) *Mesh {
	t.Helper()
	programs, err := built()
	must(t, err)
	cfg.Folder, cfg.Programs = t.TempDir(), programs
	cfg.Services = map[string]int{"records": 2, "registry": 2}
	cfg.Bounds = []string{"graceS=6", "syncS=4", "lastPostS=2.5", "retryRatio=0.2", "retryWindowS=10", "retrySlack=60"}
	m, err := Start(cfg)
	must(t, err)
	stopAtEnd(t, m)
	must(t, Await(10*time.Second, "the first configuration is accepted", func() bool {
		status, err := m.Core[0].Put(config(7))
		return err == nil && status == http.StatusOK
	}))
	for i, x := range m.Branch {
		must(t, Await(10*time.Second, x.Name+" is ready", x.Ready))
		path := "/look/1"
		if x.Service() == "registry" {
			path = "/file/1"
		}
		must(t, Await(5*time.Second, x.Name+" serves", func() bool {
			status, _, err := x.Send(http.MethodGet, "plates.example", path, fmt.Sprintf("warm-%d", i), nil)
			return err == nil && status == http.StatusOK
		}))
	}
	return m
}

// As many disks as the tolerance allows are lost at once, while all other processes are killed. The acknowledged configuration can still be
// read, and another change is acknowledged. With two empty disks among three members the rest is no majority, so that a tolerance of two
// needs five members.
func TestConfigurationSurvivesToleratedDiskLoss(t *testing.T) {
	m := startWithBounds(t, Config{Net: 48, Core: 6, Tolerance: 2})
	must(t, Await(8*time.Second, "there are as many members as the tolerance needs", func() bool {
		s, err := status(m, m.Core[3])
		return err == nil && len(s.Members) == 5 && s.FullyReplicated
	}))
	must(t, Await(5*time.Second, "a configuration is acknowledged", func() bool {
		status, err := m.Core[1].Put(config(8))
		return err == nil && status == http.StatusOK
	}))
	for _, x := range m.All() {
		x.Signal(syscall.SIGKILL)
	}
	for _, x := range m.All() {
		<-x.Done()
	}
	for _, x := range m.Core[:2] { // members from the start, as the settings name them as seed nodes
		must(t, x.Wipe())
	}
	for _, x := range m.All() {
		must(t, x.Start(false))
	}
	for _, x := range m.Core {
		must(t, Await(15*time.Second, "the configuration is read back from "+x.Name, func() bool {
			status, body, err := x.Read()
			return err == nil && status == http.StatusOK && string(body) == string(config(8))
		}))
	}
	must(t, Await(5*time.Second, "another configuration is acknowledged", func() bool {
		status, err := m.Core[0].Put(config(9))
		return err == nil && status == http.StatusOK
	}))
}

// A server leaves, and its sidecar is killed right after acknowledging that. The restarted sidecar must not send requests to the server
// later than lastPostS after the acknowledgement, although the server still responds.
func TestAcknowledgedLeaveSurvivesSidecarKill(t *testing.T) {
	var late atomic.Int64
	m := startWithBounds(t, Config{Net: 49, Core: 3, Tolerance: 1, Heartbeat: time.Second, Arrived: func(a Arrival) {
		if a.SinceClosing > 2500*time.Millisecond {
			late.Add(1)
		}
	}})
	for i, leave := range []func(s *Server) bool{(*Server).Leave, closeAndAwait} {
		x := m.Branch[i]
		if s := x.CurrentServer(); !leave(s) {
			t.Fatalf("%s: leaving was not acknowledged", s.ID())
		}
		x.Kill()
		must(t, x.Start(false))
		must(t, Await(8*time.Second, x.Name+" is ready again", x.Ready))
	}
	for end, n := time.Now().Add(6*time.Second), 0; time.Now().Before(end); n++ {
		_, _, _ = m.Branch[2+n%2].Send(http.MethodGet, "plates.example", "/look/1", fmt.Sprintf("late-%d", n), nil) // judged on arrival
		time.Sleep(10 * time.Millisecond)
	}
	if n := late.Load(); n > 0 {
		t.Errorf("%d requests reached a server that had left", n)
	}
}

// A server has left, and all processes are killed and restarted. A delayed heartbeat of the server, sent before it left, must not bring it
// back into rotation.
func TestLateHeartbeatDoesNotRestoreServer(t *testing.T) {
	const (
		inTouch  = 3 * time.Second
		lateBeat = 1000 // above all sequence numbers that the server has sent
	)
	var inTouchFrom, late atomic.Int64
	m := startWithBounds(t, Config{Net: 56, Core: 3, Tolerance: 1, Heartbeat: time.Second, Arrived: func(a Arrival) {
		if from := inTouchFrom.Load(); from > 0 && a.SinceClosing > 0 && a.At.UnixNano() > from {
			late.Add(1)
		}
	}})
	leaver := m.Branch[0].CurrentServer()
	if !leaver.Leave() {
		t.Fatalf("%s: leaving was not acknowledged", leaver.ID())
	}
	for _, x := range m.All() {
		x.Signal(syscall.SIGKILL)
	}
	for _, x := range m.All() {
		<-x.Done()
	}
	for _, x := range m.All() {
		must(t, x.Start(false))
	}
	inTouchFrom.Store(time.Now().Add(inTouch).UnixNano())
	must(t, Await(8*time.Second, "the sidecar is ready again", m.Branch[0].Ready))
	time.Sleep(inTouch / 2)
	must(t, Await(2*time.Second, "the delayed heartbeat is acknowledged", func() bool { return leaver.SendHeartbeat(lateBeat, false) }))
	for end, n := time.Now().Add(2*inTouch), 0; time.Now().Before(end); n++ {
		_, _, _ = m.Branch[2+n%2].Send(http.MethodGet, "plates.example", "/look/1", fmt.Sprintf("late-%d", n), nil) // judged on arrival
		time.Sleep(10 * time.Millisecond)
	}
	if n := late.Load(); n > 0 {
		t.Errorf("%d requests reached a server that had left", n)
	}
}

// closeAndAwait makes a server announce its closing, waits for the acknowledgement, and ends the server's heartbeats. It reports whether
// the closing was acknowledged.
func closeAndAwait(s *Server) bool {
	s.AnnounceClosing()
	acked := Await(3*time.Second, "the closing is acknowledged", s.Acked) == nil
	s.heartbeatsStopped.Store(true)
	return acked
}

// A sidecar that gets SIGTERM completes accepted requests until the last sixth of graceS, and rejects requests that can't finish by then
// instead of dropping them in flight.
func TestShutdownAnswersOrRejectsRequests(t *testing.T) {
	m := startWithBounds(t, Config{Net: 50, Core: 3, Tolerance: 1})
	x := m.Branch[2] // its server belongs to the other service and continues to serve
	ask := func(id string, work time.Duration) (status int, after time.Duration) {
		began := time.Now()
		path := fmt.Sprintf("/long/x?work=%d", work.Milliseconds())
		status, _, err := m.call(http.MethodGet, x.OutgoingURL(path),
			map[string]string{"Host": "plates.example", "Try-Id": id, "Deadline-Ms": "6000"}, nil, 7*time.Second)
		if err != nil {
			status = -1
		}
		return status, time.Since(began)
	}
	must(t, Await(5*time.Second, "the long route is in force", func() bool {
		status, err := m.Core[0].Put(longConfig(9))
		served, _ := ask("warm-long", 0)
		return err == nil && status == http.StatusOK && served == http.StatusOK
	}))
	x.Signal(syscall.SIGTERM)
	answered := make(chan int, 1)
	go func() {
		status, _ := ask("taken in time", 4800*time.Millisecond)
		answered <- status
	}()
	time.Sleep(1800 * time.Millisecond)
	// After SIGTERM the platform routes clients to the machine for about two seconds more, and clients may use open connections longer.
	if status, after := ask("too long", 5500*time.Millisecond); status == http.StatusBadGateway || status == http.StatusGatewayTimeout {
		if after < 3200*time.Millisecond { // the last sixth begins at 5 s
			t.Errorf("a request that was accepted 1.8 s after SIGTERM was dropped after %v with %d", after, status)
		}
	}
	if status := <-answered; status != http.StatusOK {
		t.Errorf("a request that needs 4.8 s of the 6 s: status %d", status)
	}
	select {
	case <-x.Done():
	case <-time.After(2 * time.Second):
		t.Error("the sidecar did not end within graceS")
	}
}

// A request that arrives long after SIGTERM on an open connection is rejected if its deadline is later than the end of the shutdown, and
// served otherwise.
func TestShutdownRejectsRequestsThatCannotFinish(t *testing.T) {
	m := startWithBounds(t, Config{Net: 51, Core: 3, Tolerance: 1})
	x := m.Branch[2]
	open := func() net.Conn {
		c, err := net.Dial("tcp", x.outgoing())
		must(t, err)
		_, err = fmt.Fprint(c, "GET /look/x HTTP/1.1\r\n") // the rest of the request comes later
		must(t, err)
		return c
	}
	x.Signal(syscall.SIGTERM)
	time.Sleep(2 * time.Second) // new connections are still accepted
	long, short := open(), open()
	defer func() { _, _ = long.Close(), short.Close() }()
	time.Sleep(1500 * time.Millisecond)
	ask := func(c net.Conn, id string, deadline time.Duration) (status int, after time.Duration) {
		began := time.Now()
		_, err := fmt.Fprintf(c, "Host: plates.example\r\nTry-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, deadline.Milliseconds())
		must(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		must(t, err)
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode, time.Since(began)
	}
	if status, after := ask(long, "long", 2*time.Second); status != http.StatusServiceUnavailable || after > 500*time.Millisecond {
		t.Errorf("a request with a deadline after the shutdown: status %d after %v", status, after)
	}
	if status, _ := ask(short, "short", time.Second); status != http.StatusOK {
		t.Errorf("a request with a deadline within the shutdown: status %d", status)
	}
	if n := m.Runs("long"); n != 0 {
		t.Errorf("the rejected request ran %d times", n)
	}
}

// longConfig returns a configuration with a single route, which has a long deadline.
func longConfig(edition int) []byte {
	return fmt.Appendf(nil, `{"edition":"%08x","caps":{},"gates":[{"depot":"plates.example","regulations":[
 {"name":"long","routeKind":"safe","targetS":0.5,"precedence":2,"sorting":{"lanePrefix":"/long/"},
  "dispatch":{"line":"records","deadlineS":7,"attempts":1}}]}],
 "fleets":[{"name":"records","healthPath":"/health","maxConns":100},{"name":"registry","healthPath":"/health","maxConns":100}]}`, edition)
}

// All datagrams on a machine's links are lost, as on overloaded links, while connections work. The machine must not count as lost for that,
// and the requests in flight at its server must complete.
func TestDatagramLossDoesNotCutOffRequests(t *testing.T) {
	m := startWithBounds(t, Config{Net: 52, Core: 3, Tolerance: 1, Links: true})
	must(t, Await(5*time.Second, "the long route is in force", func() bool {
		status, err := m.Core[0].Put(longConfig(9))
		served, _, _ := m.Branch[2].Send(http.MethodGet, "plates.example", "/long/x", "warm-long", nil)
		return err == nil && status == http.StatusOK && served == http.StatusOK
	}))
	var everybody []string
	for _, x := range m.All() {
		everybody = append(everybody, x.Name)
	}
	full := []string{m.Branch[0].Name}
	m.Network.Set(full, everybody, Link{LoseDatagrams: true})
	m.Network.Set(everybody, full, Link{LoseDatagrams: true})
	var tasks sync.WaitGroup
	for i := range 8 {
		tasks.Go(func() {
			id := fmt.Sprintf("long-%d", i)
			status, _, err := m.call(http.MethodGet, m.Branch[2].OutgoingURL("/long/x?work=5000"),
				map[string]string{"Host": "plates.example", "Try-Id": id, "Deadline-Ms": "6900"}, nil, 8*time.Second)
			if err != nil || status != http.StatusOK || m.Runs(id) != 1 {
				t.Errorf("%s: status %d, %v, %d runs", id, status, err, m.Runs(id))
			}
		})
	}
	tasks.Wait()
}
