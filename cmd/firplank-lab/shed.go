package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"firplank/internal/output"
	"firplank/lab/shed"
)

type shedCommand struct {
	scenarioFlags
	Seeds   int  `help:"Number of seeds, from the scenario's on." default:"1"`
	Retries *int `help:"Overrides the scenario's number of retries."`
}

func (c *shedCommand) Run(out io.Writer) error {
	s, err := c.openScenario()
	if err != nil {
		return err
	}
	if c.Retries != nil {
		s.Clients.Retries = *c.Retries
		if err := s.Check(); err != nil {
			return err
		}
	}
	t := output.NewTable(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	t.Println("seed\tway\tworth\tof bound by class\tof bound\tin time\tlate\trefused\tattempts\trecovered after s\tnew ones after s\t")
	for first := s.Seed; s.Seed < first+uint64(max(1, c.Seeds)); s.Seed++ {
		plan, err := s.Draw()
		if err != nil {
			return err
		}
		all, err := shed.Compare(s, plan)
		if err != nil {
			return err
		}
		for _, o := range all {
			t.Printf("%d\t%s\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%s\t%s\t\n", s.Seed, o.Policy, o.Share, o.OfClassBound, o.OfRequestBound, o.InAim,
				o.Late, o.Refused, o.Tries, formatRecovery(o.RecoveredAfter), formatRecovery(o.NewServedAfter))
		}
	}
	return t.Flush()
}

// formatRecovery formats a recovery time in seconds; negative: never.
func formatRecovery(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f", d.Seconds())
}
