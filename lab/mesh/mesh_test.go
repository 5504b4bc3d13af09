package mesh

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func config(edition int) []byte {
	return fmt.Appendf(nil, `{"edition":"%08x","caps":{},"gates":[{"depot":"plates.example","regulations":[
 {"name":"look","routeKind":"safe","targetS":0.5,"precedence":2,"sorting":{"lanePrefix":"/look/"},
  "dispatch":{"line":"records","deadlineS":2,"attempts":2}},
 {"name":"file","routeKind":"unsafe","targetS":0.5,"precedence":1,"sorting":{"lanePrefix":"/file/"},
  "dispatch":{"line":"registry","deadlineS":2,"attempts":2}}]}],
 "fleets":[{"name":"records","healthPath":"/health","maxConns":100},{"name":"registry","healthPath":"/health","maxConns":100}]}`, edition)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

var programFolder string

// built builds the programs once for all tests, and returns their folder.
var built = sync.OnceValues(func() (string, error) {
	return programFolder, Build(context.Background(), programFolder, false)
})

func TestMain(m *testing.M) {
	var err error
	if programFolder, err = os.MkdirTemp("", "firplank-mesh-test"); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(programFolder)
	os.Exit(code)
}

func start(t *testing.T, number int) *Mesh { return startWith(t, number, false) }

// stopAtEnd stops a mesh at the end of a test, and prints the machines' logs if the test failed.
func stopAtEnd(t *testing.T, m *Mesh) {
	t.Cleanup(func() {
		m.Stop()
		if t.Failed() {
			for _, x := range m.All() {
				t.Logf("%s:\n%s", x.Name, x.Log())
			}
		}
	})
}

func startWith(t *testing.T, number int, between bool) *Mesh {
	t.Helper()
	programs, err := built()
	must(t, err)
	m, err := Start(Config{
		Folder: t.TempDir(), Programs: programs, Net: number, Core: 4,
		Services: map[string]int{"records": 3, "registry": 2}, Work: 20 * time.Millisecond, ConnRelays: between,
	})
	must(t, err)
	stopAtEnd(t, m)
	must(t, Await(10*time.Second, "the first configuration is accepted", func() bool {
		status, err := m.Core[0].Put(config(7))
		return err == nil && status == http.StatusOK
	}))
	must(t, Await(10*time.Second, "all branch machines are ready", func() bool {
		for _, x := range m.Branch {
			if !x.Ready() {
				return false
			}
		}
		return true
	}))
	must(t, Await(5*time.Second, "servers are known", func() bool {
		for i, path := range []string{"/look/1", "/file/1"} {
			status, _, err := m.Branch[i].Send(http.MethodGet, "plates.example", path, "warm", nil)
			if err != nil || status != http.StatusOK {
				return false
			}
		}
		return true
	}))
	return m
}

// enoughServed is the minimum number of served requests for judging the share of failures: the faults may be over within 0.6 s.
const enoughServed = 60

// A mesh of real processes serves requests over two hops, while a server drains, a sidecar is killed, and all control machines are killed,
// one with its disk. Failures must stay below a tenth, no request may reach the drained server, and no unsafe one may run twice.
func TestMeshSurvivesProcessFaults(t *testing.T) {
	m := start(t, 21)
	checkAnswers(t, m)
	load := beginLoad(t, m)
	closing := m.Branch[0].CurrentServer() // a server of the records service drains
	closing.AnnounceClosing()
	must(t, Await(3*time.Second, "the server's closing is acknowledged", closing.Acked))

	m.Branch[4].Kill() // a sidecar beside a server of the registry service
	must(t, m.Branch[4].Start(false))
	must(t, Await(8*time.Second, "the sidecar is ready again", m.Branch[4].Ready))

	loseCore(t, m)
	must(t, Await(5*time.Second, "enough requests are served", func() bool { return load.served.Load() >= enoughServed }))
	load.end()
	t.Logf("served %d, refused %d, failed %d; late at the closing server: %d", load.served.Load(), load.refused.Load(),
		load.failed.Load(), closing.ServedAfterAck.Load())
	if load.duplicated.Load() > 0 {
		t.Errorf("%d unsafe requests ran twice", load.duplicated.Load())
	}
	if n := closing.ServedAfterAck.Load(); n > 0 {
		t.Errorf("%d requests reached a server whose closing was acknowledged", n)
	}
	if n := load.served.Load(); n < enoughServed || load.failed.Load() > n/10 {
		t.Errorf("served %d, failed %d", n, load.failed.Load())
	}
}

// checkAnswers checks a request that is served, one without a route, and two invalid configurations.
func checkAnswers(t *testing.T, m *Mesh) {
	t.Helper()
	status, body, err := m.Branch[0].Send(http.MethodGet, "plates.example", "/look/9", "one", nil)
	if want := "one from records for records"; err != nil || status != http.StatusOK || string(body) != want {
		t.Errorf("got %d %q, %v; want %q", status, body, err, want)
	}
	if status, _, _ := m.Branch[0].Send(http.MethodGet, "plates.example", "/nowhere/", "two", nil); status != http.StatusNotFound {
		t.Errorf("request without a route: status %d", status)
	}
	for _, bad := range []string{`{"edition":"00000009"`, strings.Replace(string(config(9)), `"line":"records"`, `"line":"unknown"`, 1)} {
		if status, err := m.Core[1].Put([]byte(bad)); err != nil || status != http.StatusBadRequest {
			t.Errorf("invalid configuration: status %d, %v", status, err)
		}
	}
}

// requestLoad sends requests until end is called, and counts their outcomes.
type requestLoad struct {
	served, refused, failed, duplicated atomic.Int64

	stop  chan struct{}
	tasks sync.WaitGroup
}

// beginLoad sends requests through four sidecars that are not killed during the test.
func beginLoad(t *testing.T, m *Mesh) *requestLoad {
	l := &requestLoad{stop: make(chan struct{})}
	for w := range 4 {
		l.tasks.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				default:
				}
				l.send(t, m, w, i)
			}
		})
	}
	return l
}

func (l *requestLoad) end() {
	close(l.stop)
	l.tasks.Wait()
}

// send sends one request and counts its outcome. An unsafe request that is rejected must not have run.
func (l *requestLoad) send(t *testing.T, m *Mesh, sidecar, number int) {
	id := fmt.Sprintf("w%d-%d", sidecar, number)
	method, path := http.MethodGet, "/look/x"
	if number%3 == 0 {
		method, path = http.MethodPost, "/file/x"
	}
	status, _, err := m.Branch[sidecar].Send(method, "plates.example", path, id, []byte(strings.Repeat("b", 100*(number%3))))
	switch {
	case err == nil && status == http.StatusOK:
		l.served.Add(1)
	case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		l.refused.Add(1)
		if method == http.MethodPost && m.Runs(id) > 0 {
			t.Errorf("%s was rejected and has run", id)
		}
	default:
		l.failed.Add(1)
	}
	if method == http.MethodPost && m.Runs(id) > 1 {
		l.duplicated.Add(1)
	}
}

// loseCore pauses all control machines, and then kills them right after a configuration was acknowledged. One of them loses its disk.
func loseCore(t *testing.T, m *Mesh) {
	t.Helper()
	for _, x := range m.Core { // all at once
		x.Signal(syscall.SIGSTOP)
	}
	for _, x := range m.Core {
		x.Signal(syscall.SIGCONT)
	}
	must(t, Await(5*time.Second, "a configuration is accepted after the pause", func() bool {
		status, err := m.Core[2].Put(config(8))
		return err == nil && status == http.StatusOK
	}))
	for _, x := range m.Core {
		x.Kill()
	}
	must(t, m.Core[0].Wipe()) // one of them loses its disk
	for _, x := range m.Core {
		must(t, x.Start(false))
	}
	must(t, Await(10*time.Second, "the configuration is read back", func() bool {
		status, body, err := m.Core[0].Read()
		return err == nil && status == http.StatusOK && string(body) == string(config(8))
	}))
}
