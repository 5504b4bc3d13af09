package timing

import (
	"fmt"
	"time"
)

// Inequality is a condition that durations have to meet for a guarantee to hold.
type Inequality struct {
	// Name is a short name for logs and metrics.
	Name string
	// Rule is the rule of the users' page that depends on the inequality, and Settings lists the settings that determine whether it holds.
	Rule, Settings string
	// Claim describes the condition.
	Claim string
	// Value must not exceed Limit.
	Value, Limit time.Duration
}

// Holds reports whether the inequality is met.
func (i Inequality) Holds() bool { return i.Value <= i.Limit }

// String returns the claim and both sides of the inequality for logs.
func (i Inequality) String() string {
	return fmt.Sprintf("%s: %v, at most %v (%s; %s)", i.Claim, i.Value, i.Limit, i.Settings, i.Rule)
}

// groupSize returns the number of members that a tolerance needs (replacement.GroupSize).
func groupSize(tolerance int) int { return max(3, 2*tolerance+1) }

// Inequalities returns the conditions that the durations of a deployment have to meet, as the proofs in docs/design use them.
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

// updateInequalities returns the conditions on when updates are in force (docs/design/control-safety-1.md).
func updateInequalities(s Settings, d *Durations, e Environment) []Inequality {
	b, t := &s.Bounds, &d.Dissemination
	readTime := e.RoundTrip + e.Scheduling
	ageAtControl := t.IdleReadInterval + readTime
	hopTime := t.HeartbeatInterval + e.RoundTrip/2 + e.Scheduling
	return []Inequality{
		{
			"reconnect_within_in_force", "CONFIG", "inForceS, inTouchS",
			"a sidecar whose parent fails gets acknowledged changes from another parent in time", d.Reconnect(e), b.InForce,
		},
		{
			"fresh_parent_not_left", "CONFIG", "inForceS",
			"updates of a relay are fresh enough for its subscribers to stay", ageAtControl + 2*hopTime, t.StaleAfter,
		},
		{
			"fresh_configuration_makes_ready", "CONFIG", "inForceS",
			"an update of a control machine in contact makes a sidecar ready", ageAtControl + hopTime, t.MaxReadyAge,
		},
		{
			"ready_configuration_in_force", "CONFIG", "inForceS",
			"a sidecar that becomes ready has the changes that were acknowledged inForceS earlier", t.MaxReadyAge + hopTime, b.InForce,
		},
		{
			"stale_parent_left_in_transfer", "CONFIG", "inForceS",
			"a parent that is sending a large frame is left later than one that sends nothing", t.StaleAfter, t.MaxTransferAge,
		},
		{
			"first_update_comes", "CONFIG", "inForceS", "a parent's first update arrives in time", 3 * readTime, t.FirstUpdateTimeout,
		},
		{
			"last_resort_within_recovery", "RECOVER", "inForceS, recoveryS",
			"a sidecar that finds no fresh configuration serves with an old one in time", 3 * t.StaleFallbackDelay, b.Recovery,
		},
	}
}

// connectionInequalities returns the conditions on how soon connections are restored after a fault.
func connectionInequalities(s Settings, d *Durations, e Environment) []Inequality {
	b := &s.Bounds
	handshake := e.RoundTrip + 2*e.Scheduling
	peerReconnect := d.Peers.DialTimeout + d.Peers.RedialInterval + handshake + d.Replacement.HelloInterval + e.RoundTrip
	subscription := &d.Subscription
	sidecarReconnect := subscription.DialTimeout + subscription.RedialDelay + 2*subscription.TickInterval + handshake + 2*e.RoundTrip
	return []Inequality{
		{
			"sidecar_connected_within_in_touch", "CONFIG", "inForceS, inTouchS",
			"a sidecar that was cut off has the acknowledged changes once it is in touch again", sidecarReconnect, b.SettleTime,
		},
		{
			"control_connected_within_in_touch", "CONFIG", "inTouchS",
			"control machines that were cut off answer again within inTouchS", peerReconnect, b.SettleTime,
		},
		{
			"peer_dial_succeeds", "CONFIG", "inTouchS", "a connection between healthy machines is made in one attempt",
			2 * handshake, min(d.Peers.DialTimeout, subscription.DialTimeout),
		},
		{
			"sidecar_not_lost", "LOST", "none", "two reports of a sidecar, over two hops, may be late before it counts as lost",
			3*subscription.ReportInterval + 2*(e.RoundTrip+subscription.TickInterval), d.Sidecars.Timeout,
		},
		{
			"silence_covers_a_report", "LOST", "none", "a sidecar that reports is seen again within the minimum silence",
			subscription.ReportInterval + subscription.TickInterval + e.RoundTrip, d.Sidecars.MinSilence,
		},
	}
}

// operationInequalities returns the conditions on operators' calls (docs/design/control-safety-1.md).
func operationInequalities(s Settings, d *Durations, e Environment) []Inequality {
	// operatorRetryDelay is the time without an answer after which an operator asks another machine, according to the protocol's page.
	const operatorRetryDelay = time.Second
	b, t := &s.Bounds, &d.Dissemination
	roundWithBackoff := e.Round() + d.Register.MinBackoff + d.Register.BackoffJitter
	return []Inequality{
		{
			"acknowledged_within_receipt", "ACKS", "receiptS", "after a call that timed out there is time for another one",
			2 * d.Operations.Timeout, b.AckTime,
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
			"an idle read that fails once does not count as a lost quorum",
			2*(t.IdleReadInterval+d.Register.MinPhaseTimeout) + d.Register.MinBackoff + d.Register.BackoffJitter, t.QuorumTimeout,
		},
		{
			"report_outlives_its_interval", "CONFIG", "syncS",
			"a control machine's report is valid until the second one after it", 2*d.Replacement.HelloInterval + e.RoundTrip, t.PeerReportTTL,
		},
		{
			"phase_outlasts_a_round_trip", "ACKS", "syncS", "a phase does not time out while messages and disks are healthy",
			e.RoundTrip + e.DiskSync + e.Scheduling, d.Register.MinPhaseTimeout,
		},
		{
			"phases_grow", "ACKS", "receiptS, syncS", "a phase's time-out can grow to three times what healthy messages and disks take",
			3 * (e.RoundTrip + e.DiskSync + e.Scheduling), d.Register.MaxPhaseTimeout,
		},
	}
}

// repairInequalities returns the conditions on repairs after the loss of members (docs/design/control-safety-3.md).
func repairInequalities(s Settings, d *Durations, e Environment) []Inequality {
	b, r, members := &s.Bounds, &d.Replacement, groupSize(s.Tolerance)
	afterRestart := r.Lease.StartupDelay + r.Lease.MaxVacancy(members) + r.CheckInterval + r.ChangeTimeout + r.CopyTimeout
	return []Inequality{
		{
			"repair_within_sync", "LOST", "syncS, tolerance", "a loss is repaired before the next one is allowed",
			r.MaxRepairTime(members), b.RejoinTime,
		},
		{
			"repair_after_restart_within_sync", "LOST", "syncS, tolerance", "a repair after all machines restart ends in time",
			afterRestart, b.RejoinTime,
		},
		{
			"growth_within_sync", "LOST", "syncS, tolerance",
			"the group has grown to the size that the tolerance needs before the first loss is allowed", r.MaxGrowthTime(members), b.RejoinTime,
		},
		{
			"hellos_within_detection", "LOST", "syncS", "three hellos may be late before a member counts as lost",
			3 * r.HelloInterval, r.DetectionTimeout,
		},
		{
			"contact_within_hellos", "LOST", "syncS", "a healthy machine is in contact in time to become a member",
			r.HelloInterval + e.RoundTrip/2 + e.Scheduling, r.MaxContactAge,
		},
		{
			"observed_before_decision", "LOST", "syncS", "a machine decides only after it could have had contact with all others",
			r.DetectionTimeout, r.ObservationPeriod,
		},
		{
			"change_within_timeout", "LOST", "syncS", "a phase and a backoff of both rounds fit into a change",
			2 * (r.PhaseTimeout + maxBackoff), r.ChangeTimeout,
		},
		{
			"changes_not_delayed", "LOST", "syncS", "the minimum interval between changes does not delay the next repair",
			r.MinChangeInterval, min(max(b.RejoinTime, minSync), maxSync) - r.ChangeTimeout + r.DetectionTimeout,
		},
	}
}

// leaseInequalities returns the conditions on the lease under which lost members are replaced.
func leaseInequalities(_ Settings, d *Durations, e Environment) []Inequality {
	l := &d.Replacement.Lease
	return []Inequality{
		{
			"lease_ends_before_votes", "LOST", "syncS", "a holder stops acting before the votes for it expire",
			l.LeaseDuration + l.VoteDuration/10, l.VoteDuration,
		},
		{
			"lease_renewed", "LOST", "syncS", "a holder renews twice before it has to stop", 2*l.RenewInterval + e.RoundTrip, l.LeaseDuration,
		},
		{
			"votes_counted", "LOST", "syncS", "votes of healthy machines arrive before a candidate gives up",
			e.RoundTrip + e.Scheduling, l.VoteTimeout,
		},
		{
			"earlier_votes_expired", "LOST", "syncS", "a restarted machine votes only after its earlier votes have expired",
			l.VoteDuration, l.StartupDelay,
		},
		{
			"vote_timeout_bounded", "LOST", "syncS", "half of a lease is left if its vote took longest", l.MaxVoteTimeout, l.LeaseDuration / 2,
		},
	}
}

// shutdownInequalities returns the conditions on graceful shutdowns (docs/design/ending.md, docs/design/control-safety-3.md).
func shutdownInequalities(s Settings, d *Durations, e Environment) []Inequality {
	// maxExcusedDelay is how long after SIGTERM a request may be accepted for the rules to excuse that it is aborted. lastReadinessCheck is
	// how long after SIGTERM the platform may send clients to a machine that reports that it is not ready.
	const maxExcusedDelay, lastReadinessCheck, processExitTime = 3 * time.Second, 2 * time.Second, 200 * time.Millisecond
	grace, t, r := s.Bounds.Grace, &d.Shutdown, &d.Replacement
	return []Inequality{
		{
			"cut_in_last_sixth", "LOST", "graceS", "requests are aborted only in the last sixth of the grace time", grace * 5 / 6, t.AbortRequests,
		},
		{
			"late_requests_excused", "LOST", "graceS", "the rules excuse it if requests that were accepted without a deadline check are aborted",
			t.CheckDeadlines + e.Scheduling, maxExcusedDelay,
		},
		{
			"clients_accepted", "LOST", "graceS", "connections are accepted while the platform sends clients", lastReadinessCheck, t.StopAccepting,
		},
		{
			"sidecar_ends_before_kill", "LOST", "graceS", "the sidecar's process ends before it is killed", t.FrontsEnded + processExitTime, grace,
		},
		{
			"departure_before_kill", "LOST", "graceS", "a departing control machine's process ends before it is killed",
			r.DepartureTimeout + terminationTime, grace,
		},
		{
			"handover_within_departure", "LOST", "graceS",
			"both rounds of a membership change fit into the departure", 2 * e.Round(), r.HandoverTimeout(),
		},
		{
			"replication_within_departure", "LOST", "graceS", "a round that replicates the value without the machine fits into the departure",
			e.Round(), r.DepartureTimeout - r.HandoverTimeout(),
		},
	}
}

// serverInequalities returns the conditions on the health checks of a sidecar's local server.
func serverInequalities(s Settings, d *Durations, _ Environment) []Inequality {
	return []Inequality{
		{
			"identified_server_confirmed", "DRAIN", "inTouchS, beatS",
			"a server known only by its health check gets no requests by the time its machine is in touch",
			d.Server.IdentifiedTimeout, s.Bounds.SettleTime,
		},
		{
			"restarted_server_confirmed", "DRAIN", "inTouchS",
			"a server with only one heartbeat since a restart gets no requests by the time its machine is in touch",
			d.Server.RestartConfirmTimeout, s.Bounds.SettleTime,
		},
		{
			"heartbeats_may_be_lost", "DRAIN", "beatS", "two heartbeats in a row may be lost before a server is unresponsive",
			2 * s.ServerHeartbeat, d.Server.HeartbeatTimeout,
		},
		{
			"restored_server_confirmed", "DRAIN", "beatS", "a restored server without heartbeats gets no requests before it would be unresponsive",
			d.Server.RestoredTimeout, d.Server.HeartbeatTimeout,
		},
	}
}
