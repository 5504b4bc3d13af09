package run

import (
	"context"
	"testing"
	"time"

	"firplank/lab/scenario"
)

// playTeams plays the scenario with three teams, with or without its faults.
func playTeams(t *testing.T, faults bool) *Report {
	t.Helper()
	s, err := scenario.Open("teams")
	if err != nil {
		t.Fatal(err)
	}
	if !faults {
		s.Faults = nil
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	r, err := Play(ctx, s, Options{Program: testProgram(t, "sidecar"), ExtraSlack: extraSlack})
	if err != nil {
		t.Fatal(err)
	}
	requirePass(t, r)
	return r
}

func (r *Report) row(class, tenant string) *Row {
	for i := range r.Rows {
		if r.Rows[i].Class == class && r.Rows[i].Tenant == tenant {
			return &r.Rows[i]
		}
	}
	return &Row{}
}

// One team surges to ten times its usual load with retries, and another's budget is halved during the run. Guards against a
// surge that takes capacity from other teams: each team is served its entitlement, and the third team is unaffected.
func TestThreeTeams(t *testing.T) {
	withoutFaults, withFaults := playTeams(t, false), playTeams(t, true)
	inAim := func(r *Report) float64 {
		row := r.row("reserve", "inspection")
		return float64(row.InAim) / float64(max(1, row.Asked))
	}
	if before, during := inAim(withoutFaults), inAim(withFaults); during < before-0.01 {
		t.Errorf("reserves of the quiet team in aim: %.3f without the surge, %.3f beside it", before, during)
	}
	for _, team := range withFaults.Teams {
		if team.Share < 0.96 || team.Share > 1.04 {
			t.Errorf("%s was served %.0f of the %.0f that it was entitled to", team.Name, team.Served, team.Entitled)
		}
	}
	if withFaults.Fairness < 0.99 {
		t.Errorf("fairness %.3f", withFaults.Fairness)
	}
	if insurers := withFaults.Teams[1]; insurers.Asked < 4*insurers.Entitled {
		t.Errorf("the surge asked for a worth of only %.0f", insurers.Asked)
	}
}
