package standin

// This file serves health probes and load reports.

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func (s *Server) probe(load bool) *reply {
	if !s.cfg.Probes {
		return &reply{status: http.StatusNotFound, body: "no probes\n"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.AddWork(50 * time.Microsecond)
	r := &reply{status: http.StatusOK, body: "alive\n"}
	if s.draining {
		r.status = http.StatusServiceUnavailable
	}
	if load {
		r.body = s.report()
	}
	return r
}

// report returns the present load report in its wire format; "" if there is none. The caller holds mu.
func (s *Server) report() string {
	l, ok := s.model.Report(s.cfg.Clock())
	if !ok || len(s.cfg.Reports) == 0 {
		return ""
	}
	parts := make([]string, 0, len(s.cfg.Reports))
	for _, f := range s.cfg.Reports {
		switch f {
		case "inflight":
			parts = append(parts, fmt.Sprintf("inflight=%d", l.InFlight))
		case "queue":
			parts = append(parts, fmt.Sprintf("queue=%d", l.Queue))
		case "util":
			parts = append(parts, fmt.Sprintf("util=%.3f", l.Util))
		case "qps":
			parts = append(parts, fmt.Sprintf("qps=%.1f", l.Rate))
		}
	}
	return "TEXT " + strings.Join(parts, ", ")
}
