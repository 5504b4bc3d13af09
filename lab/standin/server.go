package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"firplank/lab/model"
)

// ServerClass is a class as servers know it.
type ServerClass struct {
	Keyed  bool
	Cell   *Cell // the memory that drops repeats of a keyed one
	Window time.Duration
	Work   func(trace string) (work, wait time.Duration)
}

// ServerConfig describes a stand-in server.
type ServerConfig struct {
	ID            string
	Cell          int
	Spec          model.Spec
	Cold          bool
	Classes       map[string]ServerClass
	Reports       []string // figures of the load report, of inflight, queue, util and qps; none: no reports
	Probes        bool
	HandshakeWork time.Duration // work that a new connection costs
	MaxConns      int           // open at once; 0: no cap
	IdleTimeout   time.Duration // after which an unused connection is closed; 0: never
	RPC           bool          // it speaks MessagePack-RPC in place of HTTP
	Clock         Clock
	Observer      ServerObserver
}

// Spoil is what a server does to some of its answers.
type Spoil struct {
	Form  string        // of scenario's forms; "": nothing
	Share float64       // of the answers
	Delay time.Duration // before a second copy
}

// Server is a stand-in server. It listens on one address for each sidecar, so that it knows who asks and a single link
// can be cut. The zero value is not usable; Close ends it.
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

// link is the way from one sidecar.
type link struct {
	ln          net.Listener
	reservation *Reservation // while nothing listens
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
	jobExpired         // it expired while it waited
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

// ID returns the name of the server.
func (s *Server) ID() string { return s.cfg.ID }

// Addr returns the address at which the sidecar of a number finds the server.
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

// deliver tells the connections what has ended. The caller holds mu.
func (s *Server) endJobs(done []model.Done) {
	for _, d := range done {
		j := s.jobs[d.ID]
		if j == nil {
			continue
		}
		delete(s.jobs, d.ID)
		if d.Over {
			j.ended <- jobExpired
			continue
		}
		s.cfg.Observer.Ran(j.trace, s.cfg.ID, s.cfg.Cell, d.Began)
		j.ended <- jobFinished
	}
}

// Held returns how many requests are in work or wait, and how many connections are open.
func (s *Server) Held() (requests, conns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	work, queue := s.model.Held()
	return work + queue, len(s.conns)
}

// Close ends the server and waits for all that it started.
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
