package mesh

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour is how a server misbehaves. The zero value is a healthy server.
type Behaviour struct {
	Delay  time.Duration // of each request, in addition to its work
	Drop   float64       // share of the requests that it runs and then drops, closing the connection without a response
	Garble float64       // share of the requests that it runs, and answers with bytes that are no HTTP response
	Refuse float64       // share of the requests that it rejects with 503 and Not-Delivered, without running them
	Fail   float64       // share of the requests that it runs, and answers with 500
	// Upload is how it handles requests with a body.
	Upload UploadBehaviour
}

// UploadBehaviour is how a server handles requests with a body.
type UploadBehaviour uint8

// The behaviours. All but the first begin to run a request by its head.
const (
	RunWhenReceived UploadBehaviour = iota // it runs a request once the body was received
	RunAtHead                              // it receives the body while it runs the request
	CloseAtHead                            // it closes the connection without a response and without reading the body
	ResetAtHead                            // the same, by a reset
)

// Arrival is a request that begins to run at a server.
type Arrival struct {
	RequestID, Server, Service, Version, Sender string

	At time.Time
	// Remaining is the time that the request has left by its deadline header; 0: it has none.
	Remaining time.Duration
	// Aborted is set if the server will close the connection without a valid response.
	Aborted bool
	// SinceClosing is how long ago the server's closing was acknowledged; 0: it was not.
	SinceClosing time.Duration
}

// Server is a stand-in for an application's server: it sends heartbeats, runs requests, and counts them. Its successor at the same address
// is another Server with another id (Machine.ReplaceServer).
type Server struct {
	machine           *Machine
	service           string
	id                string
	version           string // of its software
	http              *http.Server
	stop              chan struct{}
	stopOnce          sync.Once
	closing           atomic.Bool
	heartbeatsStopped atomic.Bool  // after Leave
	delaying          atomic.Bool  // heartbeats of an accepting server are held back
	delayed           sequences    // of the heartbeats that were held back
	acked             atomic.Bool  // its closing or leaving was acknowledged
	ackedAt           atomic.Int64 // time of that in Unix nanoseconds
	behaviour         atomic.Pointer[Behaviour]
	calls             atomic.Int64 // number of calls that it has made
	Served            atomic.Int64
	ServedAfterAck    atomic.Int64 // requests that arrived after its closing was acknowledged
}

// ID returns the server's id.
func (s *Server) ID() string { return s.id }

func (s *Server) start() error {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.machine.IP, basePort+1))
	if err != nil {
		return err
	}
	s.stop = make(chan struct{})
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	go s.sendHeartbeats()
	return nil
}

// Stop ends the server without notice.
func (s *Server) Stop() {
	if s.stop == nil {
		return
	}
	s.stopOnce.Do(func() {
		close(s.stop)
		_ = s.http.Close() // serving ends even where this fails
	})
}

// ReplaceServer ends the machine's server without notice, and starts its successor of the same version, which has another id.
func (x *Machine) ReplaceServer() (*Server, error) {
	return x.UpgradeServer(x.CurrentServer().version, Behaviour{})
}

// UpgradeServer is ReplaceServer with a successor of another version, which has a behaviour from its start.
func (x *Machine) UpgradeServer(version string, b Behaviour) (*Server, error) {
	before := x.CurrentServer()
	before.Stop()
	next := &Server{machine: x, service: before.service, id: nextServerID(before.id), version: version}
	next.SetBehaviour(b)
	if err := next.start(); err != nil {
		return nil, err
	}
	x.mesh.mu.Lock()
	defer x.mesh.mu.Unlock()
	x.server = next
	return next, nil
}

// Service returns the service of the machine's server.
func (x *Machine) Service() string { return x.CurrentServer().service }

// CurrentServer returns the machine's present server.
func (x *Machine) CurrentServer() *Server {
	x.mesh.mu.Lock()
	defer x.mesh.mu.Unlock()
	return x.server
}

// nextServerID returns the id of a server's successor: "i-00000003" is followed by "i-00000003-2", and that by "i-00000003-3".
func nextServerID(id string) string {
	const first = len("i-00000000")
	generation := 1
	if len(id) > first {
		generation, _ = strconv.Atoi(id[first+1:]) // not reached: ids are made here
	}
	return fmt.Sprintf("%s-%d", id[:first], generation+1)
}

// SetBehaviour sets how the server handles requests from now on.
func (s *Server) SetBehaviour(b Behaviour) { s.behaviour.Store(&b) }

// ServeHTTP handles health checks, rejects misdirected requests with 421, and runs all other requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Try-Id")
	w.Header().Set("Try-Id", id)
	if r.URL.Path == "/health" {
		s.serveHealth(w)
		return
	}
	if to := r.Header.Get("Deliver-To"); to != s.id {
		w.Header().Set("Served-By", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b := s.behaviour.Load()
	if b == nil {
		b = &Behaviour{}
	}
	if rand.Float64() < b.Refuse {
		w.Header().Set("Not-Delivered", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	began := time.Now()
	failed := rand.Float64() < b.Fail
	dropped, garbled := rand.Float64() < b.Drop, rand.Float64() < b.Garble
	arrival := Arrival{RequestID: id, Sender: r.Header.Get("Sender-Line"), Remaining: remaining(r), Aborted: dropped || garbled}
	if !s.receiveBody(w, r, cmp.Or(b.Upload, requestedUpload(r)), arrival) {
		return
	}
	select {
	case <-time.After(s.machine.mesh.cfg.Work + b.Delay + extraWork(r)):
	case <-r.Context().Done():
		return
	}
	called := s.makeCall(r, time.Since(began))
	switch {
	case dropped:
		closeConnection(w, "")
	case garbled:
		closeConnection(w, "these bytes are no answer\r\n\r\n")
	default:
		w.Header().Set("Postmark", "stand-in."+s.id)
		if !called || failed {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = fmt.Fprintf(w, "%s from %s for %s", id, s.service, r.Header.Get("Sender-Line")) // fails only where the client has disconnected
		writePadding(w, queryNumber(r, "bytes"))
	}
}

// UploadQuery returns the query by which a request asks for a behaviour, with the question mark: "/file/x?upload=2".
func UploadQuery(b UploadBehaviour) string { return fmt.Sprintf("?upload=%d", b) }

// requestedUpload returns the behaviour that a request asks for, or RunWhenReceived if it asks for none.
func requestedUpload(r *http.Request) UploadBehaviour {
	return UploadBehaviour(min(queryNumber(r, "upload"), int(ResetAtHead)))
}

// receiveBody receives the body of a request and records that the request begins to run. It reports false if it has ended the connection.
func (s *Server) receiveBody(w http.ResponseWriter, r *http.Request, behaviour UploadBehaviour, arrival Arrival) bool {
	if behaviour == RunWhenReceived || r.ContentLength == 0 {
		_, _ = io.Copy(io.Discard, r.Body) // the body is not used
		s.record(arrival)
		return true
	}
	arrival.Aborted = arrival.Aborted || behaviour != RunAtHead
	s.record(arrival)
	switch behaviour {
	case CloseAtHead:
		closeConnection(w, "")
		return false
	case ResetAtHead:
		resetConnection(w)
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body) // the body is not used
	return true
}

// makeCall makes the call that a request asks for, through the server's own sidecar: for "/look/x?calls=3" the server calls
// "/look/x?calls=2". Its deadline is that of the request, of which elapsed is over. makeCall reports whether the call succeeded, or true if
// the request asks for none.
func (s *Server) makeCall(r *http.Request, elapsed time.Duration) bool {
	depth, left := queryNumber(r, "calls"), remaining(r)-elapsed
	if depth == 0 || left <= 0 {
		return depth == 0
	}
	x := s.machine
	id := fmt.Sprintf("%s.%d", r.Header.Get("Try-Id"), s.calls.Add(1))
	if x.mesh.cfg.Calling != nil {
		x.mesh.cfg.Calling(id, x.Name, left)
	}
	header := map[string]string{"Host": r.Host, "Try-Id": id, "Deadline-Ms": strconv.FormatInt(left.Milliseconds(), 10)}
	status, _, err := x.mesh.call(http.MethodGet, x.OutgoingURL(fmt.Sprintf("/look/x?calls=%d", depth-1)), header, nil, left)
	return err == nil && status == http.StatusOK
}

// Padding is written in chunks of paddingChunk bytes, with a pause of paddingPause after each.
const (
	paddingChunk = 16 << 10
	paddingPause = 3 * time.Millisecond
)

// Padding returns the padding of a response to a request for a number of bytes after the response's text.
func Padding(bytes int) string { return strings.Repeat("p", bytes) }

// writePadding writes a response's padding in chunks.
func writePadding(w http.ResponseWriter, bytes int) {
	controller := http.NewResponseController(w)
	for bytes > 0 {
		n := min(bytes, paddingChunk)
		if _, err := io.WriteString(w, Padding(n)); err != nil || controller.Flush() != nil {
			return // the client has disconnected
		}
		bytes -= n
		time.Sleep(paddingPause)
	}
}

// serveHealth answers a health check as the users' page on the protocol specifies.
func (s *Server) serveHealth(w http.ResponseWriter) {
	w.Header().Set("Served-By", s.id)
	if s.closing.Load() || s.heartbeatsStopped.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// record counts a request that begins to run, and passes it to Config.Arrived.
func (s *Server) record(arrival Arrival) {
	m, now := s.machine.mesh, time.Now()
	arrival.Server, arrival.Service, arrival.Version, arrival.At = s.id, s.service, s.version, now
	if s.acked.Load() {
		s.ServedAfterAck.Add(1)
		arrival.SinceClosing = now.Sub(time.Unix(0, s.ackedAt.Load()))
	}
	m.mu.Lock()
	m.runs[arrival.RequestID]++
	m.mu.Unlock()
	s.Served.Add(1)
	if m.cfg.Arrived != nil {
		m.cfg.Arrived(arrival)
	}
}

// extraWork returns the work that a request asks for in addition to Config.Work, in its query in milliseconds: "/look/x?work=1500".
func extraWork(r *http.Request) time.Duration {
	return time.Duration(queryNumber(r, "work")) * time.Millisecond
}

// queryNumber returns a number from a request's query, or 0 if there is none or it is negative.
func queryNumber(r *http.Request, name string) int {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil {
		return 0
	}
	return max(0, n)
}

// remaining returns the time that a request has left by its deadline header, or 0 if it has none.
func remaining(r *http.Request) time.Duration {
	millis, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// closeConnection writes bytes to a request's connection in place of a response, and closes it.
func closeConnection(w http.ResponseWriter, text string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = conn.Write([]byte(text)) // the connection is closed even where this fails
	_ = conn.Close()
}

// resetConnection resets a request's connection.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0) // the connection is closed even where this fails
	_ = conn.Close()
}
