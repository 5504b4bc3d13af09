package controlplane

import (
	"time"

	"github.com/go-kit/log/level"

	"firplank/mesh/timing"
)

// reportConflicts logs and counts the rules of the settings that cannot hold together.
func (s *Server) reportConflicts() {
	for _, c := range s.durations.Conflicts {
		s.metrics.registry.SetFlag("settings_conflict", "name", c.Name)
		_ = level.Warn(s.log).Log(c.LogLine()...)
	}
}

// checkTolerance reports, once, that fewer control machines are known than the tolerance needs. It is called several times a second and
// does nothing before Bounds.RejoinTime has passed, in which a machine learns of all others.
func (s *Server) checkTolerance(now time.Duration) {
	tolerance := s.settings.Tolerance.Members()
	known := len(s.knownMachines(now))
	if s.toleranceReported || now < s.settings.Bounds.RejoinTime || timing.MissingMachines(tolerance, known) == 0 {
		return
	}
	s.toleranceReported = true
	c := timing.MachinesConflict(tolerance, known)
	s.durations.Conflicts = append(s.durations.Conflicts, c)
	s.metrics.registry.SetFlag("settings_conflict", "name", c.Name)
	_ = level.Warn(s.log).Log(c.LogLine()...)
}

// conflictNames returns the names of the conflicts, for the status.
func (s *Server) conflictNames() (names []string) {
	for _, c := range s.durations.Conflicts {
		names = append(names, c.Name)
	}
	return names
}
