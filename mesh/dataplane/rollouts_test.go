package dataplane

import (
	"testing"
	"time"

	"firplank/balance"
	"firplank/internal/core"
	"firplank/mesh/bootstrap"
	"firplank/mesh/directory"
	"firplank/mesh/rollout"
	"firplank/mesh/timing"
)

// Each version's servers get the requests that the rollout's stage permits. With state too old to rule out that the canary has ended, a
// sidecar must not keep to one version, whose servers may have stopped.
func TestEligibilityByRolloutStage(t *testing.T) {
	bounds := bootstrap.DefaultBounds()
	r := newRolloutTracker(timing.Default().Rollouts, &bounds)
	canary := rollout.Rollout{Service: "one", Target: "v2", Order: 1, Stage: rollout.Canary}
	delivered := canary
	delivered.Stage = rollout.Delivered
	r.set = rollout.Set{Revision: 3, Rollouts: []rollout.Rollout{delivered}}
	r.progress["one"] = &rolloutProgress{stageReceivedAt: time.Second}
	server := func(version string, state directory.State) directory.Entry {
		return directory.Entry{Service: "one", Version: version, State: state}
	}
	if got := r.eligibility(&canary, "v2"); got != rollout.CanaryOnly {
		t.Errorf("the new version in canary: %d", got)
	}
	if r.hasEligibleServer([]directory.Entry{server("v2", directory.Accepting), server("v1", directory.Closing)}, &canary) ||
		!r.hasEligibleServer([]directory.Entry{server("v2", directory.Accepting), server("v1", directory.Accepting)}, &canary) {
		t.Error("whether a server of another version accepts requests")
	}
	if r.markRetired(time.Second+r.durations.RetirementPeriod) || r.eligibility(&delivered, "v1") != rollout.NotEligible {
		t.Error("the old version is used before it is marked retired")
	}
	if !r.markRetired(2*time.Second+r.durations.RetirementPeriod) || r.eligibility(&delivered, "v1") != rollout.Eligible {
		t.Error("servers of the old version that start long after a delivery get no requests")
	}
	if r.stale = true; r.eligibility(&canary, "v2") != rollout.Eligible || r.eligibility(&canary, "v1") != rollout.Eligible {
		t.Error("a sidecar that may have missed the end of a canary keeps to one version")
	}
}

// Only results and latencies that are evidence about the version may be counted; without a rollout nothing is.
func TestRolloutCountsOnlyVersionEvidence(t *testing.T) {
	var counts rolloutCounts
	counts.record(1, core.Result{Outcome: balance.Failed}, time.Second, false)
	if len(counts.classes) != 0 {
		t.Error("requests are counted without a rollout")
	}
	counts.order = 4
	for outcome, warmingUp := range map[balance.Result]bool{
		balance.OK: false, balance.Failed: true, balance.Reset: false, balance.TimedOut: false,
		balance.Rejected: false, balance.ConnectFailed: false, balance.NotSent: false, balance.Cancelled: false,
	} {
		counts.record(1, core.Result{Outcome: outcome}, 100*time.Millisecond, warmingUp)
	}
	counts.record(1, core.Result{Outcome: balance.OK}, time.Second, true)
	latencies := uint32(0)
	for _, count := range counts.classes[0].Latencies {
		latencies += count
	}
	if statistics := counts.classes[0]; len(counts.classes) != 1 || statistics.Requests != 5 || statistics.Failures != 2 || latencies != 2 {
		t.Errorf("%+v", counts.classes)
	}
	for class := range uint32(2 * maxRolloutClasses) {
		counts.record(class, core.Result{Outcome: balance.OK}, time.Second, false)
	}
	if len(counts.classes) != maxRolloutClasses {
		t.Errorf("%d classes", len(counts.classes))
	}
}
