package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"firplank/internal/output"
	"firplank/internal/peers"
)

// fleetCommand is about what sidecars tell one another.
type fleetCommand struct {
	Show fleetShow `cmd:"" help:"Show whom a sidecar hears, who hears whom by what it was told, and the fleet's sums as intervals."`
}

type fleetShow struct {
	Address string `arg:"" help:"The sidecar's [operators] listen."`
	JSON    bool   `help:"As JSON." name:"json"`
}

var errFleetDisabled = errors.New("the sidecar tells nobody anything: want [fleet] enabled = true in its options")

func (c *fleetShow) Run(out io.Writer) error {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + c.Address + "/fleet")
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read, or is not wanted
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return errFleetDisabled
	default:
		return fmt.Errorf("fleet: %s", resp.Status)
	}
	var s peers.Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, 64<<20)).Decode(&s); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if c.JSON {
		e := json.NewEncoder(out)
		e.SetIndent("", " ")
		return e.Encode(&s)
	}
	return showFleet(out, &s)
}

func showFleet(out io.Writer, s *peers.Status) error {
	printer := output.New(out)
	printer.Printf("member %d hears %.0f %% of %d", s.Number, 100*s.ReachableShare, len(s.Members))
	for _, f := range []struct {
		on   bool
		text string
	}{{s.CutOff, "it hears nobody"}, {s.Stale, "it has stood still, and this is old"}} {
		if f.on {
			printer.Printf("; %s", f.text)
		}
	}
	printer.Println()
	t := output.NewTable(out, 0, 0, 2, ' ', 0)
	t.Println("member\tstanding\theard itself\tnew word\tknown until\ttaken\tlife\thears")
	for i := range s.Members {
		m := &s.Members[i]
		note := ""
		if m.Conflict {
			note = " TWO PROCESSES"
		}
		t.Printf("%d\t%s%s\t%s\t%s\t%s\t%d\t%s\t%s\n", m.Number, m.Reachability, note,
			formatAge(m.SinceDatagram), formatAge(m.SinceHeartbeat), formatAge(m.SinceComplete),
			m.Received, m.Incarnation, formatReceivesFrom(m.ReceivesFrom, len(s.Members)))
	}
	t.Println("\nclass\ttenant\ttaken\tretried\tserved\tno room\tover budget\trefused\tfailed")
	for _, c := range s.Sums.Cells {
		t.Printf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", c.Class, c.Tenant, c.Received, c.Retried, c.Served, c.RefusedCapacity,
			c.RefusedBudget, c.RefusedOther, c.Failed)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	printer.Printf("each is at least that, and at most %d more (words up to %.1f s old)", s.Sums.Unreported, s.Sums.AgeS)
	if s.Sums.UnboundedMembers > 0 {
		printer.Printf("; of %d members nothing bounds what they did", s.Sums.UnboundedMembers)
	}
	printer.Println()
	return printer.Err()
}

func formatAge(s float64) string {
	if s < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s", s)
}

// row shows whom a member hears, a column each.
func formatReceivesFrom(receivesFrom []int, members int) string {
	if len(receivesFrom) == 0 {
		return "-"
	}
	b := []byte(strings.Repeat(".", members))
	for _, i := range receivesFrom {
		if i < members {
			b[i] = 'x'
		}
	}
	return string(b)
}
