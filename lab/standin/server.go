package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"firplank/lab/model"
)

// ServerClass is a request class as configured at a server.
type ServerClass struct {
	Keyed  bool
	Cell   *Cell // key table that drops repeats of keyed requests
	Window time.Duration
	Work   func(trace string) (work, wait time.Duration)
}

// ServerConfig configures a stand-in server.
type ServerConfig struct {
	ID            string
	Cell          int
	Spec          model.Spec
	Cold          bool
	Classes       map[string]ServerClass
	Reports       []string // fields of the load report: inflight, queue, util, qps; empty: no reports
	Probes        bool
	HandshakeWork time.Duration // core time that a new connection costs
	MaxConns      int           // open at the same time; 0: no limit
	IdleTimeout   time.Duration // before an unused connection is closed; 0: an hour
	RPC           bool          // speaks MessagePack-RPC instead of HTTP
	Clock         Clock
	Observer      ServerObserver
}

// Spoil says how a server corrupts some of its responses.
type Spoil struct {
	Form  string        // one of the forms of lab/scenario; "": none
	Share float64       // of the successful responses
	Delay time.Duration // before the second copy of form second_copy
}

// Server is a stand-in server. It listens on one address per sidecar, so that it can tell the sidecars apart and a single link
// can be cut. The zero value is not usable. Close stops it.
type Server struct {
	cfg   ServerConfig
	addrs []string

	mu       sync.Mutex
	model    *model.Server
	jobs     map[uint64]*job
	lastJob  uint64
	timer    *time.Timer
	links    []*link
	conns    map[*serverConn]bool
	running  bool
	draining bool
	spoil    Spoil
	errors   float64
	random   *rand.Rand
	tasks    sync.WaitGroup
}

// link is the listener for one sidecar.
type link struct {
	ln          net.Listener
	reservation *Reservation // of the address, while nothing listens
	silent      bool
}

type job struct {
	trace string
	ended chan jobEnd
}

// end is how a job ended.
type jobEnd int

const (
	jobFinished jobEnd = iota
	jobExpired         // its deadline passed while it was queued
	jobInterrupted
)

// NewServer starts a server that listens on as many addresses as there are links.
func NewServer(cfg ServerConfig, links int) (*Server, error) {
	now := cfg.Clock()
	s := &Server{
		cfg: cfg, model: model.NewServer(cfg.Spec, now, cfg.Cold), jobs: map[uint64]*job{},
		conns: map[*serverConn]bool{}, running: true, random: model.Rand(1, "server", cfg.ID),
	}
	s.timer = time.AfterFunc(time.Hour, s.tick)
	for range links {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("server %s: %w", cfg.ID, err)
		}
		s.addrs = append(s.addrs, ln.Addr().String())
		s.links = append(s.links, &link{ln: ln})
	}
	for i, l := range s.links {
		s.accept(i, l.ln)
	}
	return s, nil
}

// ID returns the server's id.
func (s *Server) ID() string { return s.cfg.ID }

// Addr returns the address for the sidecar with number link.
func (s *Server) Addr(link int) string { return s.addrs[link] }

// schedule sets the timer to the model's next event. The caller holds mu.
func (s *Server) schedule() {
	if at, ok := s.model.Next(); ok && s.running {
		s.timer.Reset(max(0, at-s.cfg.Clock()))
	}
}

func (s *Server) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running {
		return
	}
	s.endJobs(s.model.Advance(s.cfg.Clock()))
	s.schedule()
}

// endJobs notifies the connections of the jobs that ended. The caller holds mu.
func (s *Server) endJobs(done []model.Done) {
	for _, d := range done {
		j := s.jobs[d.ID]
		if j == nil {
			continue
		}
		delete(s.jobs, d.ID)
		if d.Expired {
			j.ended <- jobExpired
			continue
		}
		s.cfg.Observer.Ran(j.trace, s.cfg.ID, s.cfg.Cell, d.Began)
		j.ended <- jobFinished
	}
}

// Held returns the number of requests that run or are queued, and the number of open connections.
func (s *Server) Held() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	work, queue := s.model.Held()
	return work + queue, len(s.conns)
}

// Close stops the server and waits for its goroutines.
func (s *Server) Close() {
	s.Crash()
	s.mu.Lock()
	s.timer.Stop()
	for _, l := range s.links {
		l.reservation.Release()
		l.reservation = nil
	}
	s.mu.Unlock()
	s.tasks.Wait()
}
