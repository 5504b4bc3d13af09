package liveness

import (
	"testing"
	"time"

	"firplank/mesh/timing"
)

const ms = time.Millisecond

// durations are those of a deployment in service, and short those of one whose syncS is 2 s: its phases begin with 140 ms.
var (
	durations        = timing.Default()
	shortReplacement = timing.NewReplacement(2*time.Second, 6*time.Second)
)

// steadyDisks are all slower than a phase that begins with 350 ms, and rivals are writers whose rounds all take as long.
var (
	steadySlowDisks  = Environment{Machines: 3, Writers: 1, Sync: 400 * ms, Steady: true}
	competingWriters = Environment{Machines: 5, Writers: 5, Sync: 100 * ms, Link: 40 * ms, Steady: true}
)

// slow are runs in which messages or disks are slower than the program expects.
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

// However slow messages and disks are, within the longest phase: every change is answered.
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
			t.Logf("%+v, phases from %v: %v at most", environment, registerTiming.MinPhaseTimeout, longest)
		}
	}
}

// shortPhases is the timing of rounds in a deployment whose syncS is 2 s.
func shortPhases() timing.Register {
	r := durations.Register
	r.MinPhaseTimeout = shortReplacement.PhaseTimeout
	return r
}

// A phase that ends after a fixed time is begun anew for ever where its replies take longer.
func TestFixedPhaseTimeoutsStarve(t *testing.T) {
	fixed := durations.Register
	fixed.MaxPhaseTimeout = fixed.MinPhaseTimeout
	if took, err := RunRegister(steadySlowDisks, fixed, 1); err == nil {
		t.Errorf("every change is answered after %v", took)
	}
	fixed = shortPhases()
	fixed.MaxPhaseTimeout = fixed.MinPhaseTimeout
	if took, err := RunRegister(competingWriters, fixed, 1); err == nil {
		t.Errorf("short phases: every change is answered after %v", took)
	}
}

// Proposers that pause for as short a time as a single failure wants starve each other.
func TestShortBackoffStarvesProposers(t *testing.T) {
	shortBackoff := durations.Register
	shortBackoff.MinBackoff, shortBackoff.BackoffJitter, shortBackoff.MaxPhaseTimeout = ms, ms, shortBackoff.MinPhaseTimeout
	for seed := range uint64(20) {
		if _, err := RunRegister(competingWriters, shortBackoff, seed); err != nil {
			t.Logf("seed %d: %v", seed, err)
			if _, err := RunRegister(competingWriters, durations.Register, seed); err != nil {
				t.Errorf("seed %d, pauses that grow: %v", seed, err)
			}
			return
		}
	}
	t.Error("no run of them fails")
}

// A machine that takes the age of what it knows for the time of its last contact refuses operations while all machines answer: no round
// on slow machines is as young as that.
func TestContactByAgeRefusesOperations(t *testing.T) {
	environment := competingWriters
	environment.ContactByAge = true
	if _, err := RunRegister(environment, durations.Register, 1); err == nil {
		t.Error("no machine refuses operations")
	} else {
		t.Log(err)
	}
}

// The lease is granted wherever a vote can be counted within half of its duration, also where that takes longer than expected.
func TestLeaseIsGrantedWithSlowVotes(t *testing.T) {
	for _, environment := range []Environment{{Machines: 3, Link: 40 * ms}, {Machines: 5, Link: 60 * ms}, {Machines: 5, Link: 70 * ms}} {
		fixed, starved := shortReplacement.Lease, 0
		fixed.VoteTimeout, fixed.MaxVoteTimeout = 60*ms, 60*ms // as derived before
		for seed := range uint64(20) {
			if _, err := RunLease(environment, shortReplacement.Lease, seed); err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
			if _, err := RunLease(environment, fixed, seed); err != nil {
				starved++
			}
		}
		if starved == 0 && environment.Link > 60*ms {
			t.Errorf("%+v: votes that are waited for no longer than 60 ms are enough", environment)
		}
		t.Logf("%+v: fixed time-outs starve in %d of 20 runs", environment, starved)
	}
}
