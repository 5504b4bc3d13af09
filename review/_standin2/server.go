package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for an application's server. It speaks what the protocol's page says.
type server struct {
	r        *run
	m        *machine
	line, id string
	berths   int
	ln       net.Listener

	stopped   chan struct{}
	stopOnce  sync.Once
	noBeats   atomic.Bool
	sequence  atomic.Int64
	slots     chan struct{}
	queued    atomic.Int64
	arrivals  atomic.Int64
	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	leaveAcks atomic.Int64

	// answer handles a request that has a slot. It returns false to end the connection. nil: standardAnswer.
	answer func(s *server, q *request) bool
}

// request is a request at a server.
type request struct {
	*http.Request
	conn  net.Conn
	id    string
	began time.Time
	left  time.Duration
}

// newServer returns a server with a new id, of a new life.
func (r *run) newServer(m *machine, line string) *server {
	r.servers++
	return &server{r: r, m: m, line: line, id: fmt.Sprintf("i-%08x", 0x10000000+r.servers*7919+rand.IntN(4096)*65536), berths: 12,
		stopped: make(chan struct{}), conns: map[net.Conn]struct{}{}}
}

func (s *server) start() error {
	s.slots = make(chan struct{}, s.berths)
	ln, err := net.Listen("tcp", s.m.addr(portApp))
	if err != nil {
		return err
	}
	s.ln = ln
	go s.accept()
	go s.beats()
	return nil
}

// stop ends the server without a word.
func (s *server) stop() {
	s.stopOnce.Do(func() {
		close(s.stopped)
		if s.ln != nil {
			_ = s.ln.Close()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			_ = c.Close()
		}
	})
}

func (s *server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) beats() {
	for !s.noBeats.Load() {
		_ = s.beat("accepting")
		select {
		case <-time.After(time.Duration(beatS * float64(time.Second))):
		case <-s.stopped:
			return
		}
	}
}

// beatBody returns the body of the next beat.
func (s *server) beatBody(condition string) []byte {
	body, _ := json.Marshal(map[string]any{
		"line": s.line, "address": s.m.addr(portApp), "zone": s.m.zone, "edition": "v1", "berths": s.berths, "condition": condition,
		"coldLeftS": 0, "sequence": s.sequence.Add(1),
	})
	return body
}

// beat sends a beat and reports whether it was acknowledged.
func (s *server) beat(condition string) bool { return s.sendBeat(s.beatBody(condition)) }

func (s *server) sendBeat(body []byte) bool {
	status, _, err := call(http.MethodPost, "http://"+s.m.addr(portControl)+"/Servers.Beat/"+s.id, body)
	return err == nil && status == http.StatusOK
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		h, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if !s.handle(c, h) {
			return
		}
		if h.Body != nil {
			if _, err := io.Copy(io.Discard, h.Body); err != nil {
				return
			}
		}
	}
}

// handle handles one request, and reports whether the connection can be used again.
func (s *server) handle(c net.Conn, h *http.Request) bool {
	q := &request{Request: h, conn: c, id: h.Header.Get("Try-Id"), began: time.Now(), left: time.Minute}
	if h.URL.Path == "/health" {
		status := 200
		if s.noBeats.Load() {
			status = 503
		}
		return s.write(q, status, "Served-By: "+s.id+"\r\n", nil)
	}
	if millis, err := strconv.ParseFloat(h.Header.Get("Deadline-Ms"), 64); err == nil {
		q.left = time.Duration(millis * float64(time.Millisecond))
	}
	s.arrivals.Add(1)
	switch {
	case q.id == "":
		return s.write(q, 400, "Not-Delivered: 1\r\n", nil)
	case h.Header.Get("Deliver-To") != "" && h.Header.Get("Deliver-To") != s.id:
		return s.write(q, 421, "Not-Delivered: 1\r\n", nil)
	}
	select {
	case s.slots <- struct{}{}:
	default:
		if s.queued.Add(1) > 6 {
			s.queued.Add(-1)
			return s.write(q, 503, "Not-Delivered: 1\r\n", nil)
		}
		select {
		case s.slots <- struct{}{}:
			s.queued.Add(-1)
		case <-time.After(q.left):
			s.queued.Add(-1)
			return s.write(q, 503, "Not-Delivered: 1\r\n", nil)
		}
	}
	defer func() { <-s.slots }()
	if s.r.onRun != nil {
		s.r.onRun(s, q.id)
	}
	if s.answer != nil {
		return s.answer(s, q)
	}
	return s.standardAnswer(q, 50*time.Millisecond, []byte("the answer to "+q.id))
}

// standardAnswer reads the request's body, works, and answers 200, or 504 once the deadline has passed.
func (s *server) standardAnswer(q *request, work time.Duration, body []byte) bool {
	n, err := io.Copy(io.Discard, q.Body)
	if err != nil {
		s.r.log("server %s: the body of %s ends early, after %d bytes: %v", s.id, q.id, n, err)
		return false
	}
	time.Sleep(min(work, max(0, q.left-time.Since(q.began))))
	if time.Since(q.began) >= q.left {
		return s.write(q, 504, "Postmark: "+postmark(q.id, s.id, nil)+"\r\n", nil)
	}
	return s.write(q, 200, "Postmark: "+postmark(q.id, s.id, body)+"\r\n", body)
}

// write writes an answer with its length.
func (s *server) write(q *request, status int, fields string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nTry-Id: %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), q.id, fields, len(body))
	_, err := q.conn.Write(append([]byte(head), body...))
	return err == nil
}

// postmark returns a stamp that covers the id and the body.
func postmark(id, server string, body []byte) string {
	sum := sha256.Sum256(append([]byte(id+" "), body...))
	return "p." + server + "." + strconv.Itoa(len(body)) + "." + hex.EncodeToString(sum[:8])
}
