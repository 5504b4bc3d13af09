package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"firplank/contract"
	"firplank/internal/broker"
	"firplank/internal/core"
	"firplank/internal/output"
	"firplank/internal/sidecar"
)

// contractsCommand groups the commands for the contracts that the options file names.
type contractsCommand struct {
	Check   contractsCheck   `cmd:"" help:"Check all contracts without starting the sidecar."`
	Show    contractsShow    `cmd:"" help:"Show the terms of each team and this instance's share of the capacity."`
	Explain contractsExplain `cmd:"" help:"Simulate a team's requests at a given rate and show which clause decides on them."`
}

var errNoContracts = errors.New("the options name no contracts: set [broker] contracts = \"FOLDER\"")

// loadContracts loads the sidecar's configuration and its contracts. A configuration without contracts is errNoContracts.
func (f *configFlags) loadContracts() (*sidecar.Config, *contract.Set, error) {
	cfg, err := sidecar.LoadAll(os.Getenv, f.Config)
	if err != nil {
		return nil, nil, err
	}
	if cfg.Contracts() == nil {
		return nil, nil, errNoContracts
	}
	return cfg, cfg.Contracts(), nil
}

type contractsCheck struct{ configFlags }

func (c *contractsCheck) Run(out io.Writer) error {
	printer := output.New(out)
	_, set, err := c.loadContracts()
	if err != nil {
		return err
	}
	printer.Printf("%d teams, no errors\n", set.TeamCount())
	return printer.Err()
}

type contractsShow struct{ configFlags }

func (c *contractsShow) Run(out io.Writer) error {
	printer := output.New(out)
	cfg, set, err := c.loadContracts()
	if err != nil {
		return err
	}
	d, names := cfg.Deployment(), cfg.Catalog().ClassNames()
	printer.Printf("capacity %g worth/s, of which this instance has %.3g\n", d.Capacity, d.InstanceShare)
	t := output.NewTable(out, 0, 0, 2, ' ', 0)
	t.Println("team\tworth/s\tburst\tguaranteed\tmost\tover\tretries\tclasses")
	for i := range set.TeamCount() {
		terms := set.Terms(i)
		var classes []string
		for _, ct := range terms.Classes {
			text := names[ct.Class]
			if ct.DegradeTo >= 0 {
				text += " (else " + names[ct.DegradeTo] + ")"
			}
			classes = append(classes, text)
		}
		t.Printf("%s\t%g\t%g\t%s\t%s\t%s\t%g of first tries + %g/s\t%s\n", terms.Team, terms.WorthPerSecond, terms.Burst,
			formatShare(terms.GuaranteedShare), formatShare(terms.MaxShare), overPolicyNames[terms.OverPolicy], terms.Retries.Share,
			terms.Retries.FloorPerSecond, strings.Join(classes, ", "))
	}
	return t.Flush()
}

var overPolicyNames = map[contract.OverPolicy]string{contract.Refuse: "refuse", contract.Borrow: "borrow", contract.Degrade: "degrade"}

func formatShare(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3g", v)
}

type contractsExplain struct {
	configFlags
	Team    string        `required:"" help:"Team that sends the requests."`
	Class   string        `required:"" help:"Class of the requests."`
	Rate    float64       `required:"" help:"Requests a second that reach this instance."`
	Retries float64       `help:"Share of the requests that are marked as retries."`
	Others  string        `help:"Load of the other teams: idle, or busy (each uses all that it may)." enum:"idle,busy" default:"idle"`
	For     time.Duration `help:"Simulated time." default:"10s"`
}

const maxExplainedRequests = 5_000_000 // bounds the run time of a simulation

func (c *contractsExplain) Run(out io.Writer) error {
	cfg, set, err := c.loadContracts()
	if err != nil {
		return err
	}
	team, ok := set.TeamByName(c.Team)
	class, known := cfg.Catalog().Class(c.Class)
	switch {
	case !ok:
		return fmt.Errorf("no contract has a team %q", c.Team)
	case !known:
		return fmt.Errorf("the settings have no class %q", c.Class)
	case !(c.Rate > 0) || c.For <= 0 || c.Rate*c.For.Seconds() > maxExplainedRequests || !(c.Retries >= 0 && c.Retries <= 1):
		return fmt.Errorf("--rate %v for %v with --retries %v: want more than 0, at most %d in all, and 0 to 1", c.Rate,
			c.For, c.Retries, maxExplainedRequests)
	}
	counts, firsts := c.simulate(set, team, class, cfg.Deployment())
	total := int64(0)
	for _, n := range counts {
		total += n
	}
	reasons := make([]string, 0, len(counts))
	for r := range counts {
		reasons = append(reasons, r)
	}
	slices.SortFunc(reasons, func(a, b string) int { return cmp.Compare(counts[b], counts[a]) })
	t := output.NewTable(out, 0, 0, 2, ' ', 0)
	t.Println("clause\trequests\tshare\tthe first\tanswer")
	for _, r := range reasons {
		f := firsts[r]
		t.Printf("%s\t%d\t%.3f\tafter %v\t%s\n", r, counts[r], float64(counts[r])/float64(total), f.after.Round(time.Millisecond), f.answer)
	}
	return t.Flush()
}

// firstDecision is the first decision with a given reason. Times are relative to the start of the simulation.
type firstDecision struct {
	after  time.Duration
	answer string
}

// simulate sends evenly spaced requests to a broker in virtual time. It returns, by reason, the number of decisions and the first one.
func (c *contractsExplain) simulate(set *contract.Set, team, class int,
	d contract.Deployment) (map[string]int64, map[string]firstDecision) {
	brokerModel := contract.New(0, set)
	counts, firsts := map[string]int64{}, map[string]firstDecision{}
	interval := time.Duration(float64(time.Second) / c.Rate)
	retries := 0.0
	nextOther := time.Duration(0) // next burst of the other teams
	for now := time.Duration(0); now < c.For; now += interval {
		for ; c.Others == "busy" && nextOther <= now; nextOther += 5 * time.Millisecond {
			saturate(brokerModel, set, team, nextOther)
		}
		retries += c.Retries
		markedRetry := retries >= 1
		if markedRetry {
			retries--
		}
		decision := brokerModel.Admit(now, contract.Request{Team: team, Class: class, MarkedRetry: markedRetry})
		brokerModel.Release(now, decision.Grant, true)
		reason := decision.Reason.String()
		counts[reason]++
		if _, ok := firsts[reason]; !ok {
			firsts[reason] = firstDecision{now, describeResponse(decision, d)}
		}
	}
	return counts, firsts
}

// saturate sends requests of all other teams, each class until one is rejected or 20 are admitted, which is more than a budget allows
// in the few milliseconds between two calls.
func saturate(b *contract.Broker, set *contract.Set, exceptTeam int, now time.Duration) {
	for team := range set.TeamCount() {
		if team == exceptTeam {
			continue
		}
		for _, ct := range set.Terms(team).Classes {
			for range 20 {
				decision := b.Admit(now, contract.Request{Team: team, Class: ct.Class})
				b.Release(now, decision.Grant, true)
				if decision.Verdict != contract.Admitted {
					break
				}
			}
		}
	}
}

// describeResponse names the response that a client gets for a decision.
func describeResponse(decision contract.Decision, d contract.Deployment) string {
	if decision.Verdict == contract.Admitted {
		if decision.Reason == contract.Degraded {
			return "admitted as " + d.Classes[decision.Class].Name
		}
		return "admitted"
	}
	response := broker.Answer(decision, true)
	if response.Kind == core.Failed {
		return "403, or «denied» over MessagePack-RPC"
	}
	return fmt.Sprintf("429 with Retry-After: %.3f, or «refused» over MessagePack-RPC", response.RetryAfter.Seconds())
}
