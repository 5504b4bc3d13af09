package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["sender"] = senderCase }

// senderCase: the server of a machine crashes, and its address goes to a server of another service. The machine's sidecar is killed and comes
// back. Then a beat of the crashed server comes late.
func senderCase(r *run) bool {
	r.start(world{core: 3, order: []string{"lab-sched", "order-desk"}, lines: map[string]int{"lab-sched": 4, "order-desk": 6}})
	r.put(configOf(7, []string{"lab-sched", "order-desk"}, route{"/rx/", "safe", "lab-sched", 0.3, 1.2, 2},
		route{"/orders/", "unsafe", "order-desk", 0.4, 1.5, 2}))
	r.awaitReady()
	time.Sleep(4 * time.Second)
	m := r.branch[9]
	first := m.server
	var wrong, right atomic.Int64
	var reused atomic.Bool
	var mine sync.Map // ids of the requests that begin at the machine
	for _, other := range r.branch[:9] {
		other.server.answer = func(s *server, q *request) bool {
			if _, ok := mine.Load(q.id); ok && reused.Load() {
				if from := q.Header.Get("Sender-Line"); from != "lab-sched" {
					wrong.Add(1)
					r.log("server %s runs %s, which began at %s beside a server of lab-sched, with Sender-Line %s", s.id, q.id, m.name, from)
				} else {
					right.Add(1)
				}
			}
			return s.standardAnswer(q, 30*time.Millisecond, []byte("the answer to "+q.id))
		}
	}
	first.noBeats.Store(true)
	time.Sleep(300 * time.Millisecond)
	late := first.beatBody("accepting")
	lateAt := time.Now()
	r.log("server %s of %s sends a beat, which comes late: %s", first.id, first.line, late)
	time.Sleep(100 * time.Millisecond)
	first.stop()
	r.log("server %s crashes for good", first.id)
	time.Sleep(2 * time.Second) // addressReuseS
	next := r.newServer(m, "lab-sched")
	m.line, m.server = "lab-sched", next
	m.settings["line"] = "lab-sched"
	must(next.start())
	r.log("its address goes to server %s of %s, and the settings say so", next.id, next.line)
	time.Sleep(1550 * time.Millisecond) // two beats of the new server
	if r.trouble {
		m.signal(syscall.SIGKILL)
		m.kill()
		time.Sleep(200 * time.Millisecond)
		m.startProcess(false)
		r.log("platform: the sidecar of %s was killed and is started again", m.name)
	} else {
		m.writeSettings()
	}
	r.await("the sidecar is ready", 5*time.Second, m.ready)
	r.log("the sidecar of %s is ready", m.name)
	time.Sleep(200 * time.Millisecond)
	r.log("the beat of %s comes, %.1f s late: acknowledged %v", first.id, time.Since(lateAt).Seconds(), first.sendBeat(late))
	reused.Store(true)
	end := time.Now().Add(8 * time.Second)
	var tasks sync.WaitGroup
	for range 4 {
		tasks.Go(func() {
			for time.Now().Before(end) {
				t := &try{id: newID(), method: http.MethodPost, path: "/orders/x", body: []byte("an order"), deadline: 1500 * time.Millisecond}
				mine.Store(t.id, true)
				t.do(m)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	tasks.Wait()
	r.log("of the requests that began at %s, %d ran with the Sender-Line of its server, %d with another", m.name, right.Load(), wrong.Load())
	r.log("server %s has had %d requests", next.id, next.arrivals.Load())
	return wrong.Load() > 0
}
