package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["download"] = downloadCase
	cases["upload"] = uploadCase
}

const (
	deadlineS   = 1.2
	freezeFor   = 3500 * time.Millisecond // the site's dose of node_freeze
	clientWaits = 6 * time.Second
)

// heldPastDeadline judges the rule on the tries: of those that last longer than the route's deadlineS, eight or more and over a quarter have
// no final answer half a second after it.
func heldPastDeadline(r *run, tries []*try) bool {
	lasting, unanswered := 0, 0
	for _, t := range tries {
		r.log("client: %v", t)
		ended := t.answered
		if ended == 0 {
			ended = clientWaits
		}
		if ended.Seconds() > deadlineS {
			lasting++
		}
		if ended.Seconds() > deadlineS+0.5 {
			unanswered++
		}
	}
	r.log("%d requests, %d last longer than deadlineS, %d of them have no final answer 0.5 s after it", len(tries), lasting, unanswered)
	return unanswered >= 8 && unanswered*4 > lasting
}

// freezeOne freezes a machine for freezeFor. The channel is closed once it has woken.
func freezeOne(r *run, m *machine) (woken chan struct{}) {
	woken = make(chan struct{})
	if !r.trouble {
		close(woken)
		return woken
	}
	r.log("platform: %s freezes", m.name)
	m.signal(syscall.SIGSTOP)
	go func() {
		time.Sleep(freezeFor)
		m.signal(syscall.SIGCONT)
		r.log("platform: %s wakes", m.name)
		close(woken)
	}()
	return woken
}

// startLens starts a small deployment with four servers of lab-sched and six of another service, and returns the machines of the two.
func startLens(r *run, line string, answer func(s *server, q *request) bool) (clients, servers []*machine) {
	r.start(world{core: 3, order: []string{"lab-sched", line}, lines: map[string]int{"lab-sched": 4, line: 6},
		prepare: func(s *server) {
			if s.line == line {
				s.answer = answer
			}
		}})
	r.put(configOf(7, []string{"lab-sched", line},
		route{"/rx/", "safe", "lab-sched", 0.15, 0.6, 2},
		route{"/sheets/", "download", line, 0.3, deadlineS, 2},
		route{"/orders/", "unsafe", line, 0.4, deadlineS, 2}))
	r.awaitReady()
	time.Sleep(4 * time.Second) // inTouchS, and the servers are known
	for i := range 30 {
		t := &try{id: newID(), method: http.MethodGet, path: "/sheets/warm", deadline: 2 * time.Second}
		t.do(r.branch[i%4])
		if t.status != 200 {
			r.log("warm-up: %v", t)
		}
	}
	return r.branch[:4], r.branch[4:]
}

// downloadCase: a machine freezes while its server's answers to downloads pass through its sidecar.
func downloadCase(r *run) bool {
	piece := bytes.Repeat([]byte("s"), 20<<10)
	const pieces = 20
	clients, servers := startLens(r, "catalogue", func(s *server, q *request) bool {
		whole := bytes.Repeat(piece, pieces)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nTry-Id: %s\r\nPostmark: %s\r\nContent-Length: %d\r\n\r\n", q.id, postmark(q.id, s.id, whole), len(whole))
		if _, err := q.conn.Write([]byte(head)); err != nil {
			return false
		}
		for range pieces {
			if _, err := q.conn.Write(piece); err != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
		return true
	})
	var tasks sync.WaitGroup
	var tries []*try
	for i := range 60 {
		t := &try{id: newID(), method: http.MethodGet, path: fmt.Sprintf("/sheets/%d", i), deadline: clientWaits}
		tries = append(tries, t)
		tasks.Go(func() { t.do(clients[i%4]) })
	}
	time.Sleep(200 * time.Millisecond)
	woken := freezeOne(r, servers[5])
	tasks.Wait()
	<-woken
	return heldPastDeadline(r, tries)
}

// uploadCase: a machine freezes, and long requests are sent to the server beside it.
func uploadCase(r *run) bool {
	clients, servers := startLens(r, "order-desk", nil)
	body := bytes.Repeat([]byte("o"), 10<<20)
	woken := freezeOne(r, servers[5])
	var tasks sync.WaitGroup
	var tries []*try
	for i := range 60 {
		t := &try{id: newID(), method: http.MethodPost, path: fmt.Sprintf("/orders/%d", i), body: body, deadline: clientWaits}
		tries = append(tries, t)
		tasks.Go(func() { t.do(clients[i%4]) })
	}
	tasks.Wait()
	<-woken
	return heldPastDeadline(r, tries)
}
