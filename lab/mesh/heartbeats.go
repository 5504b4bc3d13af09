package mesh

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// This file is what a server tells the sidecar beside it: heartbeats, late ones among them, and that it ends.

// AnnounceClosing makes the server's heartbeats announce that it will end. It continues to serve.
func (s *Server) AnnounceClosing() { s.closing.Store(true) }

// Acked reports whether the mesh has acknowledged the server's closing or leaving.
func (s *Server) Acked() bool { return s.acked.Load() }

// Leave deregisters the server without an announcement in a heartbeat before, and ends its heartbeats. The server continues to serve. Leave
// reports whether the mesh has acknowledged.
func (s *Server) Leave() bool {
	s.heartbeatsStopped.Store(true)
	status, _, err := s.machine.mesh.call(http.MethodPost,
		fmt.Sprintf("http://%s:%d/Servers.Leave/%s", s.machine.IP, basePort+6, s.id), nil, nil, time.Second)
	if err != nil || status != http.StatusOK {
		return false
	}
	s.acknowledged()
	return true
}

func (s *Server) acknowledged() {
	if s.acked.CompareAndSwap(false, true) {
		s.ackedAt.Store(time.Now().UnixNano())
	}
}

// sendHeartbeats sends heartbeats, numbered from 0, until they are stopped.
func (s *Server) sendHeartbeats() {
	for sequence := 0; !s.heartbeatsStopped.Load(); sequence++ {
		closing := s.closing.Load()
		switch {
		case s.delaying.Load() && !closing:
			s.delayed.add(sequence)
		case s.SendHeartbeat(sequence, closing) && closing:
			s.acknowledged()
		}
		select {
		case <-time.After(s.machine.mesh.heartbeat() / 2):
		case <-s.stop:
			return
		}
	}
}

// sequences is a list of the sequences of heartbeats. It is safe for concurrent use.
type sequences struct {
	mu  sync.Mutex
	all []int
}

func (s *sequences) add(sequence int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, sequence)
}

// take returns the sequences in order, and empties the list.
func (s *sequences) take() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.all
	s.all = nil
	return taken
}

// DelayHeartbeats holds the server's heartbeats back from now on, except those that announce its closing.
func (s *Server) DelayHeartbeats() { s.delaying.Store(true) }

// SendDelayed sends the heartbeats that were held back, in their order, with a pause between them. It returns how many were acknowledged.
func (s *Server) SendDelayed(pause time.Duration) (acknowledged int) {
	s.delaying.Store(false)
	for i, sequence := range s.delayed.take() {
		if i > 0 {
			time.Sleep(pause)
		}
		if s.SendHeartbeat(sequence, false) {
			acknowledged++
		}
	}
	return acknowledged
}

// SendHeartbeat sends a heartbeat and reports whether the mesh has acknowledged it.
func (s *Server) SendHeartbeat(sequence int, closing bool) bool {
	condition := "accepting"
	if closing {
		condition = "closing"
	}
	body, _ := json.Marshal(map[string]any{
		"line": s.service, "address": fmt.Sprintf("%s:%d", s.machine.IP, basePort+1), "zone": s.machine.Zone, "edition": s.version, "berths": 8,
		"condition": condition, "coldLeftS": 0, "sequence": sequence,
	})
	status, _, err := s.machine.mesh.call(http.MethodPost,
		fmt.Sprintf("http://%s:%d/Servers.Beat/%s", s.machine.IP, basePort+6, s.id), nil, body, time.Second)
	return err == nil && status == http.StatusOK
}
