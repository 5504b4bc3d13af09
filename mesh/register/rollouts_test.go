package register

import (
	"strings"
	"testing"
	"time"

	"firplank/mesh/rollout"
)

// startFirstMembers starts the members of a cluster for the first time, and runs them for a second so that they have a committed value.
func startFirstMembers(c *cluster) (now time.Duration) {
	for i := range c.names {
		c.runCell(0, i, "first")
	}
	return c.run(0, time.Second)
}

// run runs the cluster for a time, and returns its end.
func (c *cluster) run(from, span time.Duration) (now time.Duration) {
	for now = from; now < from+span; now += time.Millisecond {
		c.step(now)
	}
	return now
}

func newOrder(target string) rollout.Order {
	return rollout.Order{Service: "one", Target: target, Term: time.Second}
}

func TestConcurrentOrdersStartOneRollout(t *testing.T) {
	c := newCluster([]string{"a", "b", "c"})
	now := startFirstMembers(c)
	for i, target := range []string{"v2", "v3"} {
		c.startOperation(now, i, target, func(id uint64) Event { return StartRollout{ID: id, Order: newOrder(target)} })
	}
	c.run(now, 3*time.Second)
	value, _, _ := c.replicas[2].Committed()
	r, _ := value.Rollouts.Find("one")
	confirmed, conflicting := 0, 0
	for _, line := range c.log {
		switch {
		case strings.Contains(line, resultSuffixes[Conflict]):
			conflicting++
		case strings.Contains(line, r.Target):
			confirmed++
		}
	}
	if len(value.Rollouts.Rollouts) != 1 || r.Order != 1 || confirmed != 1 || conflicting != 1 {
		t.Errorf("%+v, %q", value.Rollouts, c.log)
	}
}

func TestTransitionSurvivesRestartOfAllReplicas(t *testing.T) {
	c := newCluster([]string{"a", "b", "c"})
	now := startFirstMembers(c)
	c.handle(now, 0, StartRollout{ID: 1, Order: newOrder("v2")})
	now = c.run(now, time.Second)
	transition := rollout.Transition{Service: "one", Order: 1, From: rollout.Canary, To: rollout.Recalled, Reason: "bad", DecidedBy: "b"}
	c.handle(now, 1, AdvanceRollout{ID: 2, Transition: transition})
	now = c.run(now, time.Second)
	for i := range c.names {
		c.runCell(now, i, "kill")
		c.runCell(now, i, "up")
	}
	c.run(now, time.Second)
	value, _, committed := c.replicas[2].Committed()
	r, _ := value.Rollouts.Find("one")
	if !committed || r.Stage != rollout.Recalled || r.Reason != "bad" || r.DecidedBy != "b" || r.Term != time.Second {
		t.Errorf("committed %v, %+v", committed, r)
	}
}
