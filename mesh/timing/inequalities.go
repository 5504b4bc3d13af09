package timing

import (
	"fmt"
	"time"
)

// Inequality is something that durations have to keep for a promise to hold.
type Inequality struct {
	// Name is a short name, for logs and figures.
	Name string
	// Rule is the rule of the users' page that rests on it, and Settings names the settings that decide it.
	Rule, Settings string
	// Claim states what has to hold.
	Claim string
	// Value must not be above Limit.
	Value, Limit time.Duration
}

// Holds reports whether the inequality is kept.
func (i Inequality) Holds() bool { return i.Value <= i.Limit }

// String describes the inequality for logs: its claim and both sides.
func (i Inequality) String() string {
	return fmt.Sprintf("%s: %v, at most %v (%s; %s)", i.Claim, i.Value, i.Limit, i.Settings, i.Rule)
}

// groupSize is the number of members that a tolerance needs (replacement.GroupSize).
func groupSize(tolerance int) int { return max(3, 2*tolerance+1) }

// Inequalities returns what the durations of a deployment have to keep, as the proofs in docs/design use it.
func Inequalities(s Settings, d *Durations, e Environment) []Inequality {
	var all []Inequality
	for _, part := range []func(Settings, *Durations, Environment) []Inequality{
		updateInequalities, connectionInequalities, operationInequalities, repairInequalities, leaseInequalities, shutdownInequalities,
		serverInequalities,
	} {
		all = append(all, part(s, d, e)...)
	}
	return all
}

// updateInequalities are about what is in force, and when (docs/design/control-safety-1.md).
func updateInequalities(s Settings, d *Durations, e Environment) []Inequality {
	b, t := &s.Bounds, &d.Dissemination
	readTime := e.RoundTrip + e.Scheduling
	ageAtControl := t.IdleReadInterval + readTime
	hopTime := t.HeartbeatInterval + e.RoundTrip/2 + e.Scheduling
	return []Inequality{
		{
			"reconnect_within_in_force", "CONFIG", "inForceS, inTouchS",
			"a sidecar whose parent fails has what was acknowledged from another one", d.Reconnect(e), b.InForce,
		},
		{
			"fresh_parent_not_left", "CONFIG", "inForceS",
			"what a relay sends is fresh enough for those below it to stay", ageAtControl + 2*hopTime, t.StaleAfter,
		},
		{
			"fresh_configuration_makes_ready", "CONFIG", "inForceS",
			"what a control machine in contact sends makes a sidecar ready", ageAtControl + hopTime, t.MaxReadyAge,
		},
		{
			"ready_configuration_in_force", "CONFIG", "inForceS",
			"a sidecar that becomes ready has what was acknowledged so long before", t.MaxReadyAge + hopTime, b.InForce,
		},
		{
			"stale_parent_left_in_transfer", "CONFIG", "inForceS",
			"a large frame excuses a parent for longer than none does", t.StaleAfter, t.MaxTransferAge,
		},
		{
			"first_update_comes", "CONFIG", "inForceS", "a parent's first update comes before it is given up", 3 * readTime, t.FirstUpdateTimeout,
		},
		{
			"last_resort_within_recovery", "RECOVER", "inForceS, recoveryS",
			"a sidecar that finds nothing fresh serves by what it has", 3 * t.StaleFallbackDelay, b.Recovery,
		},
	}
}

// connectionInequalities are about how soon all is connected again after a trouble.
func connectionInequalities(s Settings, d *Durations, e Environment) []Inequality {
	b := &s.Bounds
	handshake := e.RoundTrip + 2*e.Scheduling
	peerReconnect := d.Peers.DialTimeout + d.Peers.RedialInterval + handshake + d.Replacement.HelloInterval + e.RoundTrip
	subscription := &d.Subscription
	sidecarReconnect := subscription.DialTimeout + subscription.RedialDelay + 2*subscription.TickInterval + handshake + 2*e.RoundTrip
	return []Inequality{
		{
			"sidecar_connected_within_in_touch", "CONFIG", "inForceS, inTouchS",
			"a sidecar that was cut off has what was acknowledged once it is in touch again", sidecarReconnect, b.InTouch,
		},
		{
			"control_connected_within_in_touch", "CONFIG", "inTouchS",
			"control machines that were cut off answer again once the core is settled", peerReconnect, b.InTouch,
		},
		{
			"peer_dial_succeeds", "CONFIG", "inTouchS", "a connection between machines in order is made in one attempt",
			2 * handshake, min(d.Peers.DialTimeout, subscription.DialTimeout),
		},
		{
			"sidecar_not_lost", "LOST", "none", "two reports of a sidecar may be late, each over two hops, before it counts as lost",
			3*subscription.ReportInterval + 2*(e.RoundTrip+subscription.TickInterval), d.Sidecars.Timeout,
		},
		{
			"silence_covers_a_report", "LOST", "none", "a sidecar that reports is seen within the silence that counts against it",
			subscription.ReportInterval + subscription.TickInterval + e.RoundTrip, d.Sidecars.MinSilence,
		},
	}
}

// operationInequalities are about operators' calls (docs/design/control-safety-1.md).
func operationInequalities(s Settings, d *Durations, e Environment) []Inequality {
	// operatorPatience is the silence after which an operator asks another machine, by the page on the protocol.
	const operatorRetryDelay = time.Second
	b, t := &s.Bounds, &d.Dissemination
	roundWithBackoff := e.Round() + d.Register.MinBackoff + d.Register.BackoffJitter
	return []Inequality{
		{
			"acknowledged_within_receipt", "ACKS", "receiptS", "a call that times out leaves time for another one",
			2 * d.Operations.Timeout, b.Receipt,
		},
		{
			"acknowledgement_before_operator_leaves", "ACKS", "inForceS",
			"the wait for sidecars ends before the operator asks another machine", t.AckTimeout + e.Scheduling, operatorRetryDelay,
		},
		{
			"round_within_call", "ACKS", "receiptS", "a round that fails once, and the wait for sidecars, end within a call",
			2*roundWithBackoff + t.AckTimeout, d.Operations.Timeout,
		},
		{
			"quorum_not_lost_in_order", "ACKS", "receiptS, inForceS",
			"an idle read that fails once is no loss of the quorum",
			2*(t.IdleReadInterval+d.Register.MinPhaseTimeout) + d.Register.MinBackoff + d.Register.BackoffJitter, t.QuorumTimeout,
		},
		{
			"report_outlives_its_interval", "CONFIG", "syncS",
			"another control machine's report counts until its next but one", 2*d.Replacement.HelloInterval + e.RoundTrip, t.PeerReportTTL,
		},
		{
			"phase_outlasts_a_round_trip", "ACKS", "syncS", "a phase that messages and a disk in order take does not time out",
			e.RoundTrip + e.DiskSync + e.Scheduling, d.Register.MinPhaseTimeout,
		},
		{
			"phases_grow", "ACKS", "receiptS, syncS", "a time-out can grow to three times what messages and a disk in order take",
			3 * (e.RoundTrip + e.DiskSync + e.Scheduling), d.Register.MaxPhaseTimeout,
		},
	}
}

// repairInequalities are about losses of members (docs/design/control-safety-3.md).
func repairInequalities(s Settings, d *Durations, e Environment) []Inequality {
	b, r, members := &s.Bounds, &d.Replacement, groupSize(s.Tolerance)
	afterRestart := r.Lease.StartupDelay + r.Lease.MaxVacancy(members) + r.CheckInterval + r.ChangeTimeout + r.CopyTimeout
	return []Inequality{
		{
			"repair_within_sync", "LOST", "syncS, tolerance", "a loss is repaired before the next one may follow",
			r.MaxRepairTime(members), b.Sync,
		},
		{
			"repair_after_restart_within_sync", "LOST", "syncS, tolerance", "the same after a restart of all", afterRestart, b.Sync,
		},
		{
			"growth_within_sync", "LOST", "syncS, tolerance",
			"the first members are as many as the tolerance needs before the first machine may be lost", r.MaxGrowthTime(members), b.Sync,
		},
		{
			"hellos_within_detection", "LOST", "syncS", "three hellos may be late before a member counts as lost",
			3 * r.HelloInterval, r.DetectionTimeout,
		},
		{
			"contact_within_hellos", "LOST", "syncS", "a machine that is up is heard of in time to become a member",
			r.HelloInterval + e.RoundTrip/2 + e.Scheduling, r.MaxContactAge,
		},
		{
			"observed_before_decision", "LOST", "syncS", "a machine decides only after it could have heard of all",
			r.DetectionTimeout, r.ObservationPeriod,
		},
		{
			"change_within_timeout", "LOST", "syncS", "a phase and a backoff of both rounds fit into a change",
			2 * (r.PhaseTimeout + maxBackoff), r.ChangeTimeout,
		},
		{
			"changes_not_delayed", "LOST", "syncS", "the least interval between changes does not delay the next repair",
			r.MinChangeInterval, min(max(b.Sync, minSync), maxSync) - r.ChangeTimeout + r.DetectionTimeout,
		},
	}
}

// leaseInequalities are about who replaces lost members.
func leaseInequalities(_ Settings, d *Durations, e Environment) []Inequality {
	l := &d.Replacement.Lease
	return []Inequality{
		{
			"lease_ends_before_votes", "LOST", "syncS", "a holder stops before the votes for it expire",
			l.LeaseDuration + l.VoteDuration/10, l.VoteDuration,
		},
		{
			"lease_renewed", "LOST", "syncS", "a holder renews twice before it has to stop", 2*l.RenewInterval + e.RoundTrip, l.LeaseDuration,
		},
		{
			"votes_counted", "LOST", "syncS", "votes of machines in order come before a candidate gives up",
			e.RoundTrip + e.Scheduling, l.VoteTimeout,
		},
		{
			"earlier_votes_expired", "LOST", "syncS", "a machine votes after a start when its earlier votes have expired",
			l.VoteDuration, l.StartupDelay,
		},
		{
			"vote_timeout_bounded", "LOST", "syncS", "a lease that is won after the longest wait still lasts", l.MaxVoteTimeout, l.LeaseDuration / 2,
		},
	}
}

// shutdownInequalities are about SIGTERM (docs/design/ending.md, docs/design/control-safety-3.md).
func shutdownInequalities(s Settings, d *Durations, e Environment) []Inequality {
	// excused is the time after SIGTERM up to which a request may have been sent that the rules allow to cut off, and lastReadinessCheck
	// that until which the platform may send clients to a machine that says it is not ready.
	const maxExcusedDelay, lastReadinessCheck, processExitTime = 3 * time.Second, 2 * time.Second, 200 * time.Millisecond
	grace, t, r := s.Bounds.Grace, &d.Shutdown, &d.Replacement
	return []Inequality{
		{
			"cut_in_last_sixth", "LOST", "graceS", "requests are cut off in the last sixth of the grace time only", grace * 5 / 6, t.AbortRequests,
		},
		{
			"late_requests_excused", "LOST", "graceS", "what is taken without regard to its time was sent before the rules excuse it no more",
			t.CheckDeadlines + e.Scheduling, maxExcusedDelay,
		},
		{
			"clients_accepted", "LOST", "graceS", "connections are accepted for as long as the platform sends clients", lastReadinessCheck, t.StopAccepting,
		},
		{
			"sidecar_ends_before_kill", "LOST", "graceS", "the process ends before it is killed", t.FrontsEnded + processExitTime, grace,
		},
		{
			"departure_before_kill", "LOST", "graceS", "a control machine that departs ends before it is killed",
			r.DepartureTimeout + terminationTime, grace,
		},
		{
			"handover_within_departure", "LOST", "graceS",
			"both rounds of a change of members fit into the departure", 2 * e.Round(), r.HandoverTimeout(),
		},
		{
			"replication_within_departure", "LOST", "graceS", "and a round that replicates the value without the machine",
			e.Round(), r.DepartureTimeout - r.HandoverTimeout(),
		},
	}
}

// serverInequalities are about the server beside a sidecar.
func serverInequalities(s Settings, d *Durations, _ Environment) []Inequality {
	return []Inequality{
		{
			"identified_server_confirmed", "DRAIN", "inTouchS, beatS",
			"a server that is known by its health check alone is barred before its machine is in touch",
			d.Server.IdentifiedTimeout, s.Bounds.InTouch,
		},
		{
			"restarted_server_confirmed", "DRAIN", "inTouchS",
			"a server that one heartbeat tells of after a restart is barred before its machine is in touch",
			d.Server.RestartConfirmTimeout, s.Bounds.InTouch,
		},
		{
			"heartbeats_may_be_lost", "DRAIN", "beatS", "two heartbeats in a row may be lost before a server is unresponsive",
			2 * s.ServerHeartbeat, d.Server.HeartbeatTimeout,
		},
		{
			"restored_server_confirmed", "DRAIN", "beatS", "a server that was restored is barred before it would be unresponsive",
			d.Server.RestoredTimeout, d.Server.HeartbeatTimeout,
		},
	}
}
