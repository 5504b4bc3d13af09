package liveness

import (
	"testing"
	"time"

	"firplank/mesh/timing"
)

const ms = time.Millisecond

// durations are the timings of a deployment with the default settings. shortReplacement is the timing of one whose syncS is 2 s, in which
// the first time-out of a phase is 140 ms.
var (
	durations        = timing.Default()
	shortReplacement = timing.NewReplacement(2*time.Second, 6*time.Second)
)

// In steadySlowDisks all syncs take longer than a phase's first time-out of 350 ms. In competingWriters the rounds of all writers take the
// same time.
var (
	steadySlowDisks  = Environment{Machines: 3, Writers: 1, Sync: 400 * ms, Steady: true}
	competingWriters = Environment{Machines: 5, Writers: 5, Sync: 100 * ms, Link: 40 * ms, Steady: true}
)

// slowEnvironments are environments in which messages or disks are slower than the program expects.
var slowEnvironments = []Environment{
	{Machines: 3, Writers: 1, Sync: 400 * ms},
	{Machines: 3, Writers: 2, Sync: 150 * ms, Link: 5 * ms},
	{Machines: 5, Writers: 2, Sync: 150 * ms, SlowDisks: 3, Link: 2 * ms},
	{Machines: 5, Writers: 5, Sync: 150 * ms, SlowDisks: 3, Link: 40 * ms},
	{Machines: 4, Writers: 3, Sync: 300 * ms, Link: 100 * ms},
	{Machines: 3, Writers: 2, Sync: 40 * ms, Link: 300 * ms},
	{Machines: 3, Writers: 3, Sync: 2 * ms, Link: 2 * ms},
	steadySlowDisks,
	competingWriters,
}

// Every change completes as long as messages and disks are fast enough for the longest time-out of a phase.
func TestChangesCompleteOnSlowMachines(t *testing.T) {
	for _, environment := range slowEnvironments {
		for _, registerTiming := range []timing.Register{durations.Register, shortPhases()} {
			var longest time.Duration
			for seed := range uint64(4) {
				duration, err := RunRegister(environment, registerTiming, seed)
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				longest = max(longest, duration)
			}
			t.Logf("%+v, phase time-outs from %v: %v at most", environment, registerTiming.MinPhaseTimeout, longest)
		}
	}
}

// shortPhases returns the timing of rounds in a deployment whose syncS is 2 s.
func shortPhases() timing.Register {
	r := durations.Register
	r.MinPhaseTimeout = shortReplacement.PhaseTimeout
	return r
}

// A phase with a fixed time-out is restarted forever if its replies take longer than that.
func TestFixedPhaseTimeoutsStarve(t *testing.T) {
	fixed := durations.Register
	fixed.MaxPhaseTimeout = fixed.MinPhaseTimeout
	if duration, err := RunRegister(steadySlowDisks, fixed, 1); err == nil {
		t.Errorf("every change completes after %v", duration)
	}
	fixed = shortPhases()
	fixed.MaxPhaseTimeout = fixed.MinPhaseTimeout
	if duration, err := RunRegister(competingWriters, fixed, 1); err == nil {
		t.Errorf("short phases: every change completes after %v", duration)
	}
}

// Competing proposers starve each other if their backoff is as short as a single failure requires and does not grow.
func TestShortBackoffStarvesProposers(t *testing.T) {
	shortBackoff := durations.Register
	shortBackoff.MinBackoff, shortBackoff.BackoffJitter, shortBackoff.MaxPhaseTimeout = ms, ms, shortBackoff.MinPhaseTimeout
	for seed := range uint64(20) {
		if _, err := RunRegister(competingWriters, shortBackoff, seed); err != nil {
			t.Logf("seed %d: %v", seed, err)
			if _, err := RunRegister(competingWriters, durations.Register, seed); err != nil {
				t.Errorf("seed %d, growing backoff: %v", seed, err)
			}
			return
		}
	}
	t.Error("no run with the short backoff fails")
}

// A machine that measures its contact with a quorum by the age of its last committed state refuses operations although all machines
// respond, because rounds on slow machines take longer than the quorum time-out.
func TestContactByAgeRefusesOperations(t *testing.T) {
	environment := competingWriters
	environment.ContactByAge = true
	if _, err := RunRegister(environment, durations.Register, 1); err == nil {
		t.Error("no machine refuses operations")
	} else {
		t.Log(err)
	}
}

// The lease is granted whenever votes arrive within half of the vote duration, even if that takes longer than expected.
func TestLeaseIsGrantedWithSlowVotes(t *testing.T) {
	for _, environment := range []Environment{{Machines: 3, Link: 40 * ms}, {Machines: 5, Link: 60 * ms}, {Machines: 5, Link: 70 * ms}} {
		fixed, starved := shortReplacement.Lease, 0
		fixed.VoteTimeout, fixed.MaxVoteTimeout = 60*ms, 60*ms // the former derived values
		for seed := range uint64(20) {
			if _, err := RunLease(environment, shortReplacement.Lease, seed); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if _, err := RunLease(environment, fixed, seed); err != nil {
				starved++
			}
		}
		if starved == 0 && environment.Link > 60*ms {
			t.Errorf("%+v: a fixed vote time-out of 60 ms is enough", environment)
		}
		t.Logf("%+v: fixed time-outs starve in %d of 20 runs", environment, starved)
	}
}
