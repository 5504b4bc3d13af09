package controlplane

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"firplank/mesh/api"
	"firplank/mesh/controlplane/operations"
	"firplank/mesh/controlplane/reconcile"
	"firplank/mesh/register"
)

// readStatus responds with this machine's view of the control plane.
func (s *Server) readStatus(*api.Request) api.Response {
	e := statusRequested{reply: make(chan api.ControlStatus, 1)}
	s.post(e)
	select {
	case status := <-e.reply:
		return api.JSONResponse(http.StatusOK, status)
	case <-time.After(s.durations.Operations.Timeout):
	case <-s.ctx.Done():
	}
	return api.ErrorResponse(http.StatusServiceUnavailable, operations.ErrNoQuorum)
}

// status returns this machine's view of the control plane. It runs on the event loop.
func (s *Server) status(now time.Duration) api.ControlStatus {
	group := s.reconciler.Group(now)
	value, _, _ := s.pipeline.Replica().Committed()
	status := api.ControlStatus{
		Self:            s.self,
		Members:         group.Members,
		PreviousMembers: group.PriorMembers,
		Version:         value.Version.Optional(),
		Ballot:          s.pipeline.Replica().CommittedBallot().String(),
		LeaseHolder:     s.reconciler.LeaseHolder(now),
		FullyReplicated: reconcile.FullyReplicated(group),
		Conflicts:       s.conflictNames(),
		Rollouts:        s.rolloutStatus(now, value.Rollouts),
	}
	for _, m := range group.Machines {
		machine := api.ControlMachine{
			Address:   m.Addr,
			Zone:      m.Zone,
			Member:    slices.Contains(group.Members, m.Addr),
			Voter:     m.Voter,
			Connected: m.Connected,
			LastSeenS: -1,
			Leaving:   m.Draining,
			DiskFails: m.DiskFailed,
			Ballot:    s.acceptedBallot(m.Addr).String(),
			UpToDate:  m.CaughtUp,
		}
		if m.LastContact > 0 {
			machine.LastSeenS = (now - m.LastContact).Seconds()
		}
		status.Machines = append(status.Machines, machine)
	}
	slices.SortFunc(status.Machines, func(a, b api.ControlMachine) int { return strings.Compare(a.Address, b.Address) })
	return status
}

// acceptedBallot returns the ballot of the value on a machine's disk: for a peer, as in its last hello.
func (s *Server) acceptedBallot(addr string) register.Ballot {
	if addr == s.self {
		return s.pipeline.OnDisk().Accepted
	}
	return s.peers.Get(addr).Status.Accepted
}
