package mesh

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// rolloutTest is a mesh with six servers of a service with unsafe requests, and a load of such requests.
type rolloutTest struct {
	*Mesh
	t *testing.T

	requests, served, lost, late atomic.Int64
	stopped                      atomic.Bool // servers of the old version have been stopped
	byVersion                    sync.Map    // arrivals by version (*atomic.Int64)
	stop                         chan struct{}
	load                         sync.WaitGroup
}

func (r *rolloutTest) arrivals(version string) int64 {
	counter, _ := r.byVersion.LoadOrStore(version, &atomic.Int64{})
	return counter.(*atomic.Int64).Load()
}

func (r *rolloutTest) arrived(a Arrival) {
	if a.Service != "registry" {
		return
	}
	counter, _ := r.byVersion.LoadOrStore(a.Version, &atomic.Int64{})
	counter.(*atomic.Int64).Add(1)
	if r.stopped.Load() && a.Version == initialVersion {
		r.late.Add(1)
	}
}

// newRolloutTest starts a rollout to v2 under load, drains three of the old servers, and replaces them by servers of v2 with a behaviour.
func newRolloutTest(t *testing.T, net int, termS float64, b Behaviour) *rolloutTest {
	t.Helper()
	programs, err := built()
	must(t, err)
	r := &rolloutTest{t: t, stop: make(chan struct{})}
	r.Mesh, err = Start(Config{
		Folder: t.TempDir(), Programs: programs, Net: net, Core: 3, Tolerance: 1, Work: 20 * time.Millisecond,
		Services: map[string]int{"registry": 6}, Arrived: r.arrived,
		Bounds: []string{"graceS=3", "inTouchS=2", "retryRatio=0.2", "retryWindowS=10", "retrySlack=60", "exposureShare=0.1"},
	})
	must(t, err)
	stopAtEnd(t, r.Mesh)
	must(t, Await(10*time.Second, "the first configuration is accepted", func() bool {
		status, err := r.Core[0].Put(config(7))
		return err == nil && status == http.StatusOK
	}))
	for i, x := range r.Branch {
		must(t, Await(10*time.Second, x.Name+" serves", func() bool {
			status, _, err := x.Send(http.MethodGet, "plates.example", "/file/1", fmt.Sprintf("warm-%d", i), nil)
			return err == nil && status == http.StatusOK
		}))
	}
	r.beginLoad()
	must(t, Await(5*time.Second, "the rollout is acknowledged", func() bool {
		status, err := r.Core[1].StartRollout(RolloutOrder{Service: "registry", Target: "v2", TermS: termS})
		return err == nil && status == http.StatusOK
	}))
	for _, x := range r.Branch[3:] {
		x.CurrentServer().AnnounceClosing()
		must(t, Await(3*time.Second, "the old server's closing is acknowledged", x.CurrentServer().Acked))
	}
	time.Sleep(200 * time.Millisecond) // the draining servers complete their requests
	for _, x := range r.Branch[3:] {
		_, err := x.UpgradeServer("v2", b)
		must(t, err)
	}
	return r
}

// beginLoad sends requests through all branch machines until endLoad.
func (r *rolloutTest) beginLoad() {
	for i, x := range r.Branch {
		r.load.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-r.stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				id := fmt.Sprintf("rollout-%d-%d", i, n)
				r.requests.Add(1)
				status, _, err := x.Send(http.MethodPost, "plates.example", "/file/1", id, nil)
				switch {
				case err == nil && status == http.StatusOK:
					r.served.Add(1)
				case err != nil || status != http.StatusServiceUnavailable && status != http.StatusInternalServerError:
					r.lost.Add(1)
				}
				if r.Runs(id) > 1 {
					r.t.Errorf("%s ran %d times", id, r.Runs(id))
				}
			}
		})
	}
}

func (r *rolloutTest) endLoad() {
	close(r.stop)
	r.load.Wait()
}

func (r *rolloutTest) awaitCondition(want string) {
	r.t.Helper()
	must(r.t, Await(20*time.Second, "the rollout is "+want, func() bool { return r.Core[2].ReadRollout("registry") == want }))
}

// Old servers are stopped as soon as the rollout is delivered. No request is lost, runs twice or reaches an old server after that. During
// the rollout a control machine is killed and restarted.
func TestOldServersMayStopOnceRolloutIsDelivered(t *testing.T) {
	r := newRolloutTest(t, 53, 6, Behaviour{})
	r.Core[0].Kill()
	must(t, r.Core[0].Start(false))
	r.awaitCondition("delivered")
	r.stopped.Store(true)
	for _, x := range r.Branch[:3] {
		x.CurrentServer().Stop()
	}
	time.Sleep(time.Second)
	r.endLoad()
	t.Logf("%d requests, %d served, %d at v2", r.requests.Load(), r.served.Load(), r.arrivals("v2"))
	if r.lost.Load() > 0 || r.late.Load() > 0 {
		t.Errorf("%d requests lost, %d at old servers after the rollout was delivered", r.lost.Load(), r.late.Load())
	}
	if r.served.Load() < r.requests.Load()*9/10 {
		t.Errorf("%d of %d served", r.served.Load(), r.requests.Load())
	}
}

// A version that fails half of its requests is recalled before it has received a tenth of all requests, and receives none afterwards.
func TestBadVersionIsRecalledWithinItsExposure(t *testing.T) {
	r := newRolloutTest(t, 54, 20, Behaviour{Fail: 0.5})
	r.awaitCondition("recalled")
	time.Sleep(time.Second) // propagation of the recall to all sidecars
	atRecall, requests := r.arrivals("v2"), r.requests.Load()
	time.Sleep(time.Second)
	r.endLoad()
	t.Logf("recalled after %d of %d requests", atRecall, requests)
	if late := r.arrivals("v2") - atRecall; late > 0 {
		t.Errorf("%d requests after the recall", late)
	}
	if float64(atRecall) > 0.1*float64(requests) || r.lost.Load() > 0 {
		t.Errorf("%d of %d requests at the bad version, %d lost", atRecall, requests, r.lost.Load())
	}
}

// scanConfig returns config with an additional route for downloads from the service.
func scanConfig(edition int) []byte {
	return bytes.Replace(config(edition), []byte(`{"name":"look"`), []byte(`{"name":"scan","routeKind":"download","targetS":0.5,"precedence":2,
  "sorting":{"lanePrefix":"/scan/"},"dispatch":{"line":"registry","deadlineS":8,"attempts":1}},
 {"name":"look"`), 1)
}

func TestDeliveryWaitsForStreamsOfOldServers(t *testing.T) {
	const scanBytes = 6 << 20 // takes about two seconds
	r := newRolloutTest(t, 55, 6, Behaviour{})
	must(t, Await(5*time.Second, "the route for downloads is in force", func() bool {
		put, err := r.Core[0].Put(scanConfig(9))
		served, _, _ := r.Branch[0].Send(http.MethodGet, "plates.example", "/scan/x", "warm-scan", nil)
		return err == nil && put == http.StatusOK && served == http.StatusOK
	}))
	var scans sync.WaitGroup
	var whole, broken atomic.Int64
	delivered := make(chan struct{})
	for i, x := range r.Branch {
		scans.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-delivered:
					return
				default:
				}
				header := map[string]string{"Host": "plates.example", "Try-Id": fmt.Sprintf("scan-%d-%d", i, n), "Deadline-Ms": "8000"}
				status, body, err := r.call(http.MethodGet, x.OutgoingURL(fmt.Sprintf("/scan/x?bytes=%d", scanBytes)), header, nil, 10*time.Second)
				switch {
				case status == http.StatusOK && err == nil && len(body) >= scanBytes:
					whole.Add(1)
				case status == http.StatusOK:
					broken.Add(1)
				}
			}
		})
	}
	r.awaitCondition("delivered")
	for _, x := range r.Branch[:3] {
		x.CurrentServer().Stop()
	}
	close(delivered)
	scans.Wait()
	r.endLoad()
	t.Logf("%d downloads complete", whole.Load())
	if broken.Load() > 0 || whole.Load() < int64(len(r.Branch)) {
		t.Errorf("%d downloads broken, %d complete", broken.Load(), whole.Load())
	}
}
