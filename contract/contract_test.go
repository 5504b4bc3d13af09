package contract

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

// deployment returns settings with classes of worth 8, 3 and 1; the last two have the same effect.
func deployment(capacity float64) Deployment {
	return Deployment{Classes: []Class{{"reserve", 8, 1}, {"lookup", 3, 0}, {"lite", 1, 0}}, Capacity: capacity}
}

// terms returns a contract for all classes.
func terms(name string, worth, burst float64) Terms {
	return Terms{
		Team: name, Tenants: []string{name}, WorthPerSecond: worth, Burst: burst,
		Classes: []ClassTerms{{0, 0, -1}, {1, 0, -1}, {2, 0, -1}},
	}
}

func compile(t testing.TB, d Deployment, all ...Terms) *Set {
	t.Helper()
	set, err := Compile(d, all)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// A claim identifies at most one team. A claim with a wrong token must not be accepted for its tenant.
func TestTeamByClaim(t *testing.T) {
	a, b := terms("a", 1, 8), terms("b", 1, 8)
	a.Tokens, b.Listeners = []Digest{DigestOf("secret")}, []string{"inner"}
	set := compile(t, deployment(0), a, b)
	for _, c := range []struct {
		claim Claim
		want  int
		ok    bool
	}{
		{Claim{Token: DigestOf("secret"), HasToken: true, Tenant: "b"}, 0, true},
		{Claim{Token: DigestOf("guess"), HasToken: true, Tenant: "a"}, 0, false},
		{Claim{Tenant: "b"}, 1, true},
		{Claim{Tenant: "c", Listener: "inner"}, 1, true},
		{Claim{Tenant: "c", Listener: "outer"}, 0, false},
		{Claim{}, 0, false},
	} {
		if got, ok := set.TeamByClaim(&c.claim); ok != c.ok || ok && got != c.want {
			t.Errorf("%+v: team %d, %v", c.claim, got, ok)
		}
	}
	wrong := DigestOf("secret")
	wrong[31]++ // the same first bytes
	if _, ok := set.TeamByClaim(&Claim{Token: wrong, HasToken: true}); ok {
		t.Error("a digest that differs in its last byte was accepted")
	}
}

// Each fault is reported with its team and key, and faulty contracts are not compiled.
func TestFaultsNameTeamAndKey(t *testing.T) {
	for want, change := range map[string]func(a, b *Terms){
		"team 1: name: team name is missing":                 func(a, _ *Terms) { a.Team = "" },
		"team 2: name: duplicate team \"a\"":                 func(_, b *Terms) { b.Team = "a" },
		"team 1: tenants: the team needs at least one":       func(a, _ *Terms) { a.Tenants = nil },
		"team 2: tenants: \"a\" is empty or already used by": func(_, b *Terms) { b.Tenants = []string{"a"} },
		"team 2: token_sha256: team \"a\" has":               func(a, b *Terms) { a.Tokens = []Digest{{1}}; b.Tokens = a.Tokens },
		"team 1: worth_per_s: NaN":                           func(a, _ *Terms) { a.WorthPerSecond = math.NaN() },
		"team 1: worth_per_s: -1":                            func(a, _ *Terms) { a.WorthPerSecond = -1 },
		"team 1: burst: 7 is less than the largest worth":    func(a, _ *Terms) { a.Burst = 7 },
		"team 2: guaranteed: the guarantees add up to 1.100": func(a, b *Terms) { a.GuaranteedShare, b.GuaranteedShare = 0.6, 0.5 },
		"team 1: most: 0.1 is less than the":                 func(a, _ *Terms) { a.GuaranteedShare, a.MaxShare = 0.2, 0.1 },
		"team 1: class: the team has no class":               func(a, _ *Terms) { a.Classes = nil },
		"team 1: class: the settings have no":                func(a, _ *Terms) { a.Classes[0].Class = 9 },
		"team 1: class: duplicate class \"lookup\"":          func(a, _ *Terms) { a.Classes[0].Class = 1 },
		"team 1: degrade: \"reserve\" has worth":             func(a, _ *Terms) { a.Classes[1].DegradeTo = 0 },
		"team 1: degrade: \"lite\" has another effect":       func(a, _ *Terms) { a.Classes[0].DegradeTo = 2 },
		"team 1: retries.share: 2":                           func(a, _ *Terms) { a.Retries.Share = 2 },
		"team 1: retries.window_s: 1h0m0s":                   func(a, _ *Terms) { a.Retries.Window = time.Hour },
		"team 1: most_open: -1":                              func(a, _ *Terms) { a.MaxOpen = -1 },
	} {
		a, b := terms("a", 10, 20), terms("b", 10, 20)
		change(&a, &b)
		_, err := Compile(deployment(100), []Terms{a, b})
		var faults Faults
		if !errors.As(err, &faults) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	for _, key := range []string{"guaranteed", "most", "over"} {
		a := terms("a", 10, 20)
		a.GuaranteedShare, a.MaxShare, a.OverPolicy = 0.1, 0.2, Borrow
		if _, err := Compile(deployment(0), []Terms{a}); err == nil || !strings.Contains(err.Error(), key+": ") {
			t.Errorf("%s without a capacity: %v", key, err)
		}
	}
}

// An instance's share of a burst must still admit one request of the class with the largest worth.
func TestInstanceShareOfBudget(t *testing.T) {
	d := deployment(100)
	d.InstanceShare = 0.1
	set := compile(t, d, terms("a", 50, 40))
	if set.capacity != 10 || set.teams[0].localWorthPerSecond != 5 || set.teams[0].localBurst != 8 {
		t.Errorf("capacity %v, worth %v, burst %v", set.capacity, set.teams[0].localWorthPerSecond, set.teams[0].localBurst)
	}
}
