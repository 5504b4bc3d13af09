package mesh

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Connections between sidecars break at varying offsets of requests and responses, and requests arrive after their senders have seen the
// connection break. An unsafe request must not run twice, a request that was answered with 503 must not have run, and at least nine tenths
// are served all the same.
func TestBrokenConnectionsDoNotDuplicateRequests(t *testing.T) {
	m := startWith(t, 47, true)
	for _, x := range m.Branch {
		x.ConnRelay.SetBreakPattern(&BreakPattern{Every: 1, StepBytes: 37, MaxBytes: 1500, LastHopDelay: 30 * time.Millisecond})
	}
	const clients, each = 4, 60
	var mu sync.Mutex
	answers := map[string]int{}
	var tasks sync.WaitGroup
	for c := range clients {
		tasks.Go(func() {
			for i := range each {
				id := fmt.Sprintf("c%d-%d", c, i)
				status, body, err := m.Branch[c].Send(http.MethodPost, "plates.example", "/file/x", id, []byte(strings.Repeat("b", 7*i)))
				if err != nil {
					status = -1
				}
				if status == http.StatusOK && !strings.HasPrefix(string(body), id+" from registry") {
					t.Errorf("%s: unexpected response %q", id, body)
				}
				mu.Lock()
				answers[id] = status
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	time.Sleep(100 * time.Millisecond) // longer than LastHopDelay, so that delayed requests have arrived
	counts, broken := map[int]int{}, int64(0)
	for id, status := range answers {
		counts[status]++
		runs := m.Runs(id)
		if runs > 1 || runs > 0 && status == http.StatusServiceUnavailable || runs == 0 && status == http.StatusOK {
			t.Errorf("%s: status %d and %d runs", id, status, runs)
		}
	}
	for _, x := range m.Branch {
		broken += x.ConnRelay.Broken.Load()
	}
	t.Logf("answers by status %v; %d connections broke", counts, broken)
	if broken < 30 || counts[http.StatusOK] < clients*each*9/10 {
		t.Errorf("%d connections broke, %d of %d requests served", broken, counts[http.StatusOK], clients*each)
	}
}
