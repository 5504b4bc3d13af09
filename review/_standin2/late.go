package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["late"] = lateCase }

// lateCase: a server leaves and the leave is acknowledged; then the processes of the core and the sidecar beside the server are killed at the
// same moment and come back within a second. Two beats that the server had sent before it left come late.
func lateCase(r *run) bool {
	clients, servers := startLens(r, "catalogue", nil)
	s := servers[5].server
	var ackedAt, inTouchAt atomic.Int64
	var late, early atomic.Int64
	r.onRun = func(at *server, id string) {
		acked, inTouch := ackedAt.Load(), inTouchAt.Load()
		now := time.Now().UnixNano()
		if at != s || acked == 0 {
			return
		}
		since := time.Duration(now - acked)
		if since > 2500*time.Millisecond && inTouch > 0 && now > inTouch {
			late.Add(1)
			r.log("server %s runs %s, %.3f s after its leave was acknowledged", at.id, id, since.Seconds())
		} else {
			early.Add(1)
		}
	}
	s.noBeats.Store(true)
	time.Sleep(1600 * time.Millisecond) // the last beat that came in time
	first := s.beatBody("accepting")
	r.log("server %s sends a beat, which comes late: %s", s.id, first)
	time.Sleep(1500 * time.Millisecond)
	second := s.beatBody("accepting")
	r.log("server %s sends a beat, which comes late: %s", s.id, second)
	time.Sleep(300 * time.Millisecond)
	r.await("the leave is acknowledged", 5*time.Second, func() bool {
		status, _, err := call(http.MethodPost, "http://"+s.m.addr(portControl)+"/Servers.Leave/"+s.id, nil)
		return err == nil && status == http.StatusOK
	})
	ackedAt.Store(time.Now().UnixNano())
	r.log("the leave of %s is acknowledged", s.id)
	if r.trouble {
		killed := append([]*machine{servers[5]}, r.core...)
		for _, m := range killed {
			m.signal(syscall.SIGKILL)
		}
		for _, m := range killed {
			m.kill()
		}
		r.log("platform: the sidecar of %s and the core are killed", s.id)
		time.Sleep(400 * time.Millisecond)
		for _, m := range killed {
			m.startProcess(false)
		}
		r.log("platform: they are started again")
	}
	started := time.Now()
	time.Sleep(900 * time.Millisecond)
	r.log("the first late beat comes: acknowledged %v", s.sendBeat(first))
	time.Sleep(600 * time.Millisecond)
	r.log("the second late beat comes: acknowledged %v", s.sendBeat(second))
	// Twice inTouchS, as after a fault that took most of the core, and some slack; requests come all the while.
	time.AfterFunc(time.Until(started.Add(6200*time.Millisecond)), func() {
		inTouchAt.Store(time.Now().UnixNano())
		r.log("all machines are in touch")
	})
	end := started.Add(10 * time.Second)
	var tasks sync.WaitGroup
	var served atomic.Int64
	for i := range 6 {
		tasks.Go(func() {
			for time.Now().Before(end) {
				t := &try{id: newID(), method: http.MethodGet, path: "/sheets/x", deadline: 1200 * time.Millisecond}
				t.do(clients[i%4])
				if t.status == 200 && inTouchAt.Load() > 0 {
					served.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	tasks.Wait()
	r.log("%d requests served in touch; %d reached the server that had left, later than lastPostS after the acknowledgement", served.Load(), late.Load())
	return late.Load() > 0
}
