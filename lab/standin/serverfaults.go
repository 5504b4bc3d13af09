package standin

// This file injects faults into a server.

import (
	"fmt"
	"time"

	"firplank/lab/model"
)

// abortWork ends all jobs. Running ones are reported as executed, since they may have had their effect. The caller holds mu.
func (s *Server) abortWork() {
	s.endJobs(s.model.Advance(s.cfg.Clock()))
	for _, w := range s.model.Working() {
		if j := s.jobs[w.ID]; j != nil {
			s.cfg.Observer.Ran(j.trace, s.cfg.ID, s.cfg.Cell, w.Began)
		}
	}
	for id, j := range s.jobs {
		delete(s.jobs, id)
		j.ended <- jobInterrupted
	}
	s.model.Clear()
}

// Crash ends the server as if its process were killed: connections are reset and new ones refused.
func (s *Server) Crash() {
	s.mu.Lock()
	if !s.running {
		s.mu.Unlock()
		return
	}
	s.running = false
	s.abortWork()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	for i, l := range s.links {
		_ = l.ln.Close() // the accept loop ends in any case
		l.reservation = Reserve(s.addrs[i])
	}
	s.mu.Unlock()
	for _, c := range conns {
		resetConn(c.Conn)
	}
}

// Restart starts a crashed server again on its addresses, cold.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running {
		return nil
	}
	s.model = model.NewServer(s.cfg.Spec, s.cfg.Clock(), true)
	s.running, s.draining = true, false
	for i, l := range s.links {
		l.reservation.Release()
		ln, err := relisten(s.addrs[i])
		if err != nil {
			s.running = false
			return fmt.Errorf("server %s: restart: %w", s.cfg.ID, err)
		}
		l.ln, l.reservation, l.silent = ln, nil, false
		s.accept(i, ln)
	}
	return nil
}

// Replace starts another server under a new id on the addresses of this one, which must have crashed.
func (s *Server) Replace(id string) (*Server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cfg := s.cfg
	cfg.ID, cfg.Cold = id, true
	n := &Server{
		cfg: cfg, addrs: s.addrs, model: model.NewServer(cfg.Spec, cfg.Clock(), true), jobs: map[uint64]*job{},
		conns: map[*serverConn]bool{}, running: true, random: model.Rand(1, "server", id),
	}
	n.timer = time.AfterFunc(time.Hour, n.tick)
	for i, l := range s.links {
		l.reservation.Release()
		l.reservation = nil
		ln, err := relisten(s.addrs[i])
		if err != nil {
			n.Close()
			return nil, fmt.Errorf("server %s: %w", id, err)
		}
		n.links = append(n.links, &link{ln: ln})
	}
	for i, l := range n.links { // only when all links exist, as connections access them
		n.accept(i, l.ln)
	}
	return n, nil
}

// SetDraining makes the server reject new requests, or accept them again.
func (s *Server) SetDraining(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = on
}

// SetSlow makes work take factor times as long; 1 restores the normal speed.
func (s *Server) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endJobs(s.model.SetSlow(s.cfg.Clock(), factor))
	s.schedule()
}

// SetSpoil corrupts responses from now on.
func (s *Server) SetSpoil(sp Spoil) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoil = sp
}

// SetErrors turns a share of the responses into status 500, after the work is done.
func (s *Server) SetErrors(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errors = share
}

// SetReportDelay delays load reports by d, in addition to the delay of the model's Spec.
func (s *Server) SetReportDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.SetReportDelay(s.cfg.Spec.ReportDelay + d)
}

// SetSilent cuts a link, or all links if number is -1: requests on it are ignored and nothing is sent. When the cut ends, the
// open connections are reset. New connections are still established during the cut, since the kernel completes them, but get
// no response.
func (s *Server) SetSilent(number int, on bool) {
	s.mu.Lock()
	var cut []*serverConn
	for i, l := range s.links {
		if number < 0 || number == i {
			l.silent = on
		}
	}
	if !on {
		for c := range s.conns {
			if number < 0 || c.link == number {
				cut = append(cut, c)
			}
		}
	}
	s.mu.Unlock()
	for _, c := range cut {
		resetConn(c.Conn)
	}
}
