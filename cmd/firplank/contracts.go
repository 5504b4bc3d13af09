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

// contractsCommand is about the contracts that the options name.
type contractsCommand struct {
	Check   contractsCheck   `cmd:"" help:"Read and check all contracts, and start nothing."`
	Show    contractsShow    `cmd:"" help:"Show what each team was promised, and this instance's part."`
	Explain contractsExplain `cmd:"" help:"Tell what becomes of a team's requests at a rate, and which clause decides."`
}

var errNoContracts = errors.New("the options name no contracts: want [broker] contracts = \"FOLDER\"")

func (f *files) contracts() (*sidecar.Config, *contract.Set, error) {
	cfg, err := sidecar.LoadAll(os.Getenv, f.Config)
	if err != nil {
		return nil, nil, err
	}
	if cfg.Contracts() == nil {
		return nil, nil, errNoContracts
	}
	return cfg, cfg.Contracts(), nil
}

type contractsCheck struct{ files }

func (c *contractsCheck) Run(out io.Writer) error {
	printer := output.New(out)
	_, set, err := c.contracts()
	if err != nil {
		return err
	}
	printer.Printf("%d teams, no fault\n", set.TeamCount())
	return printer.Err()
}

type contractsShow struct{ files }

func (c *contractsShow) Run(out io.Writer) error {
	printer := output.New(out)
	cfg, set, err := c.contracts()
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
			share(terms.GuaranteedShare), share(terms.MaxShare), overNames[terms.OverPolicy], terms.Retries.Share, terms.Retries.FloorPerSecond,
			strings.Join(classes, ", "))
	}
	return t.Flush()
}

var overNames = map[contract.OverPolicy]string{contract.Refuse: "refuse", contract.Borrow: "borrow", contract.Degrade: "degrade"}

func share(v float64) string {
	if v == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3g", v)
}

type contractsExplain struct {
	files
	Team    string        `required:"" help:"Whose requests."`
	Class   string        `required:"" help:"Of which class."`
	Rate    float64       `required:"" help:"How many a second reach this instance."`
	Retries float64       `help:"The share of them that are marked as retries."`
	Others  string        `help:"What the other teams do meanwhile: idle, or busy with all that they may." enum:"idle,busy" default:"idle"`
	For     time.Duration `help:"How long." default:"10s"`
}

const mostExplained = 5_000_000 // requests that are played

func (c *contractsExplain) Run(out io.Writer) error {
	cfg, set, err := c.contracts()
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
	case !(c.Rate > 0) || c.For <= 0 || c.Rate*c.For.Seconds() > mostExplained || !(c.Retries >= 0 && c.Retries <= 1):
		return fmt.Errorf("--rate %v for %v with --retries %v: want more than 0, at most %d in all, and 0 to 1", c.Rate,
			c.For, c.Retries, mostExplained)
	}
	count, first := c.play(set, team, class, cfg.Deployment())
	total := int64(0)
	for _, n := range count {
		total += n
	}
	reasons := make([]string, 0, len(count))
	for r := range count {
		reasons = append(reasons, r)
	}
	slices.SortFunc(reasons, func(a, b string) int { return cmp.Compare(count[b], count[a]) })
	t := output.NewTable(out, 0, 0, 2, ' ', 0)
	t.Println("clause\trequests\tshare\tthe first\tanswer")
	for _, r := range reasons {
		f := first[r]
		t.Printf("%s\t%d\t%.3f\tafter %v\t%s\n", r, count[r], float64(count[r])/float64(total), f.at.Round(time.Millisecond), f.answer)
	}
	return t.Flush()
}

// told is the first decision for a reason.
type told struct {
	at     time.Duration
	answer string
}

// play asks the contracts for evenly spaced requests, in time that is not real.
func (c *contractsExplain) play(set *contract.Set, team, class int, d contract.Deployment) (map[string]int64, map[string]told) {
	b := contract.New(0, set)
	count, first := map[string]int64{}, map[string]told{}
	gap := time.Duration(float64(time.Second) / c.Rate)
	retries := 0.0
	next := time.Duration(0) // of the others
	for at := time.Duration(0); at < c.For; at += gap {
		for ; c.Others == "busy" && next <= at; next += 5 * time.Millisecond {
			busy(b, set, team, next)
		}
		retries += c.Retries
		marked := retries >= 1
		if marked {
			retries--
		}
		got := b.Admit(at, contract.Request{Team: team, Class: class, MarkedRetry: marked})
		b.Release(at, got.Grant, true)
		reason := got.Reason.String()
		count[reason]++
		if _, ok := first[reason]; !ok {
			first[reason] = told{at, describe(got, d)}
		}
	}
	return count, first
}

// busy lets every other team ask for more than it may have in some milliseconds.
func busy(b *contract.Broker, set *contract.Set, but int, now time.Duration) {
	for team := range set.TeamCount() {
		if team == but {
			continue
		}
		for _, ct := range set.Terms(team).Classes {
			for range 20 {
				got := b.Admit(now, contract.Request{Team: team, Class: ct.Class})
				b.Release(now, got.Grant, true)
				if got.Verdict != contract.Admitted {
					break
				}
			}
		}
	}
}

// describe tells the form of an answer.
func describe(got contract.Decision, d contract.Deployment) string {
	if got.Verdict == contract.Admitted {
		if got.Reason == contract.Degraded {
			return "admitted as " + d.Classes[got.Class].Name
		}
		return "admitted"
	}
	a := broker.Answer(got, true)
	if a.Kind == core.Failed {
		return "403, or «denied» over MessagePack-RPC"
	}
	return fmt.Sprintf("429 with Retry-After: %.3f, or «refused» over MessagePack-RPC", a.RetryAfter.Seconds())
}
