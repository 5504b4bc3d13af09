package timing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"firplank/mesh/bootstrap"
)

// drawLegalSettings draws settings from the ranges that deployments may use.
func drawLegalSettings(t *rapid.T) Settings {
	draw := func(name string, low, high float64) time.Duration {
		return time.Duration(rapid.Float64Range(low, high).Draw(t, name) * float64(time.Second))
	}
	b := bootstrap.DefaultBounds()
	b.SettleTime, b.Grace, b.DrainTime = draw("inTouchS", 1.5, 10), draw("graceS", 2.5, 25), draw("lastPostS", 1, 8)
	b.InForce, b.RejoinTime, b.AckTime = draw("inForceS", 1.5, 8), draw("syncS", 2, 10), draw("receiptS", 5, 12)
	return Settings{Bounds: b, ServerHeartbeat: draw("beatS", 0.5, 5), Tolerance: rapid.IntRange(1, 2).Draw(t, "tolerance")}
}

// cornerSettings returns the settings for all combinations of the ends of the ranges.
func cornerSettings() (all []Settings) {
	for i := range 1 << 7 {
		pick := func(bit int, low, high float64) time.Duration {
			if i>>bit&1 == 0 {
				high = low
			}
			return time.Duration(high * float64(time.Second))
		}
		b := bootstrap.DefaultBounds()
		b.SettleTime, b.Grace, b.DrainTime = pick(0, 1.5, 10), pick(1, 2.5, 25), pick(2, 1, 8)
		b.InForce, b.RejoinTime = pick(3, 1.5, 8), pick(4, 2, 10)
		all = append(all, Settings{Bounds: b, ServerHeartbeat: pick(5, 0.5, 5), Tolerance: 1 + i>>6&1})
	}
	return all
}

func violated(s Settings, d *Durations) (all []Inequality) {
	for _, i := range Inequalities(s, d, AssumedEnvironment()) {
		if !i.Holds() {
			all = append(all, i)
		}
	}
	return all
}

func TestLegalSettingsKeepEveryInequality(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawLegalSettings(t)
		d := New(s)
		for _, i := range violated(s, &d) {
			t.Errorf("%s: %v", i.Name, i)
		}
	})
	for _, s := range cornerSettings() {
		d := New(s)
		for _, i := range violated(s, &d) {
			t.Errorf("%+v: %s: %v", s, i.Name, i)
		}
	}
}

// For the settings of the deployments in production, the derived durations equal the constants that were used before.
func TestDeployedSettingsKeepTheirDurations(t *testing.T) {
	for _, inForce := range []time.Duration{2500 * time.Millisecond, 3 * time.Second} {
		b := bootstrap.DefaultBounds()
		b.InForce = inForce
		d := New(Settings{Bounds: b, ServerHeartbeat: 1500 * time.Millisecond, Tolerance: 1})
		for _, c := range []struct {
			name      string
			got, want time.Duration
		}{
			{"idle read", d.Dissemination.IdleReadInterval, 300 * time.Millisecond},
			{"heartbeat", d.Dissemination.HeartbeatInterval, 350 * time.Millisecond},
			{"stale", d.Dissemination.StaleAfter, 1350 * time.Millisecond},
			{"transfer", d.Dissemination.MaxTransferAge, 4 * time.Second},
			{"first update", d.Dissemination.FirstUpdateTimeout, 450 * time.Millisecond},
			{"quorum", d.Dissemination.QuorumTimeout, 1500 * time.Millisecond},
			{"acknowledgement", d.Dissemination.AckTimeout, 650 * time.Millisecond},
			{"subscriber", d.Dissemination.SubscriberTimeout, 1500 * time.Millisecond},
			{"last resort", d.Dissemination.StaleFallbackDelay, inForce},
			{"dial", d.Subscription.DialTimeout, 500 * time.Millisecond},
			{"tick", d.Subscription.TickInterval, 200 * time.Millisecond},
			{"peer dial", d.Peers.DialTimeout, 600 * time.Millisecond},
			{"sidecar", d.Sidecars.Timeout, 3 * time.Second},
			{"silence", d.Sidecars.MinSilence, 1200 * time.Millisecond},
			{"call", d.Operations.Timeout, 2500 * time.Millisecond},
			{"phase", d.Register.MinPhaseTimeout, 350 * time.Millisecond},
			{"departure", d.Replacement.DepartureTimeout, 4 * time.Second},
			{"heartbeats", d.Server.HeartbeatTimeout, 3900 * time.Millisecond},
		} {
			if c.got != c.want {
				t.Errorf("inForceS %v: %s: %v, want %v", inForce, c.name, c.got, c.want)
			}
		}
	}
}

// Settings that cannot be met are reported by name, and the nearest values are used.
func TestConflictingSettingsAreReported(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Settings)
		want   string
	}{
		{"graceS is below what a departure takes", func(s *Settings) { s.Bounds.Grace = 1500 * time.Millisecond }, "handover_within_departure"},
		{"inForceS is below a reconnection", func(s *Settings) { s.Bounds.InForce = time.Second }, "reconnect_within_in_force"},
		{"syncS is below a repair", func(s *Settings) { s.Bounds.RejoinTime = time.Second }, "repair_within_sync"},
		{"inTouchS is below a reconnection", func(s *Settings) { s.Bounds.SettleTime = time.Second / 2 }, "control_connected_within_in_touch"},
		{"receiptS is below a round", func(s *Settings) { s.Bounds.AckTime = 2 * time.Second }, "round_within_call"},
	} {
		s := Settings{Bounds: bootstrap.DefaultBounds(), ServerHeartbeat: time.Second, Tolerance: 1}
		c.change(&s)
		d := New(s)
		found := false
		for _, i := range d.Conflicts {
			found = found || i.Name == c.want
		}
		if !found {
			t.Errorf("%s: %v", c.name, d.Conflicts)
		}
		if d.Dissemination.StaleAfter < 700*time.Millisecond || d.Replacement.DetectionTimeout < 500*time.Millisecond {
			t.Errorf("%s: durations below their minimum: %+v", c.name, d)
		}
	}
	if d := Default(); len(d.Conflicts) > 0 {
		t.Errorf("default settings: %v", d.Conflicts)
	}
}

// The inequalities depend on each derived duration: replaced by its former constant, each one violates an inequality at a corner of the
// legal settings.
func TestFormerConstantsViolateInequalities(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant func(*Durations)
	}{
		{"StaleAfter", func(d *Durations) { d.Dissemination.StaleAfter = 1350 * time.Millisecond }},
		{"HeartbeatInterval", func(d *Durations) { d.Dissemination.HeartbeatInterval = 350 * time.Millisecond }},
		{"IdleReadInterval", func(d *Durations) { d.Dissemination.IdleReadInterval = 300 * time.Millisecond }},
		{"MaxReadyAge", func(d *Durations) { d.Dissemination.MaxReadyAge = 1500 * time.Millisecond }},
		{"MaxTransferAge", func(d *Durations) { d.Dissemination.MaxTransferAge = d.Dissemination.StaleAfter / 2 }},
		{"FirstUpdateTimeout", func(d *Durations) { d.Dissemination.FirstUpdateTimeout = 200 * time.Millisecond }},
		{"StaleFallbackDelay", func(d *Durations) { d.Dissemination.StaleFallbackDelay = 8 * time.Second }},
		{"AckTimeout", func(d *Durations) { d.Dissemination.AckTimeout = time.Second }},
		{"QuorumTimeout", func(d *Durations) { d.Dissemination.QuorumTimeout = 700 * time.Millisecond }},
		{"DialTimeout", func(d *Durations) { d.Subscription.DialTimeout = 500 * time.Millisecond }},
		{"TickInterval", func(d *Durations) { d.Subscription.TickInterval = 200 * time.Millisecond }},
		{"Peers.DialTimeout", func(d *Durations) { d.Peers.DialTimeout = 1200 * time.Millisecond }},
		{"Sidecars.Timeout", func(d *Durations) { d.Sidecars.Timeout = 2 * time.Second }},
		{"Sidecars.MinSilence", func(d *Durations) { d.Sidecars.MinSilence = 600 * time.Millisecond }},
		{"Operations.Timeout", func(d *Durations) { d.Operations.Timeout = 4 * time.Second }},
		{"MinPhaseTimeout", func(d *Durations) { d.Register.MinPhaseTimeout = 100 * time.Millisecond }},
		{"MaxPhaseTimeout", func(d *Durations) { d.Register.MaxPhaseTimeout = 350 * time.Millisecond }},
		{"DetectionTimeout", func(d *Durations) { d.Replacement.DetectionTimeout = 4 * time.Second }},
		{"HelloInterval", func(d *Durations) { d.Replacement.HelloInterval = 300 * time.Millisecond }},
		{"ObservationPeriod", func(d *Durations) { d.Replacement.ObservationPeriod = 6 * time.Second }},
		{"ChangeTimeout", func(d *Durations) { d.Replacement.ChangeTimeout = 3 * time.Second }},
		{"MinChangeInterval", func(d *Durations) { d.Replacement.MinChangeInterval = 3 * time.Second }},
		{"DepartureTimeout", func(d *Durations) { d.Replacement.DepartureTimeout = 4 * time.Second }},
		{"VoteTimeout", func(d *Durations) { d.Replacement.Lease.VoteTimeout = 60 * time.Millisecond }},
		{"LeaseDuration", func(d *Durations) { d.Replacement.Lease.LeaseDuration = d.Replacement.Lease.VoteDuration }},
		{"Shutdown.CheckDeadlines", func(d *Durations) { d.Shutdown.CheckDeadlines = 3 * time.Second }},
		{"Shutdown.StopAccepting", func(d *Durations) { d.Shutdown.StopAccepting = 1500 * time.Millisecond }},
		{"Shutdown.AbortRequests", func(d *Durations) { d.Shutdown.AbortRequests = 4500 * time.Millisecond }},
		{"Shutdown.FrontsEnded", func(d *Durations) { d.Shutdown.FrontsEnded = 5500 * time.Millisecond }},
		{"HeartbeatTimeout", func(d *Durations) { d.Server.HeartbeatTimeout = 3900 * time.Millisecond }},
		{"IdentifiedTimeout", func(d *Durations) { d.Server.IdentifiedTimeout = d.Server.RestoredTimeout }},
		{"RestartConfirmTimeout", func(d *Durations) { d.Server.RestartConfirmTimeout = 3 * time.Second }},
	} {
		found := false
		for _, s := range cornerSettings() {
			d := New(s)
			c.plant(&d)
			found = found || len(violated(s, &d)) > 0
		}
		if !found {
			t.Errorf("%s: no inequality is violated at any corner of the settings", c.name)
		}
	}
}
