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

// fleetCommand groups the commands for the load reports that sidecars exchange.
type fleetCommand struct {
	Show fleetShow `cmd:"" help:"Show which members a sidecar can reach, who receives from whom, and the fleet's totals as intervals."`
}

type fleetShow struct {
	Address string `arg:"" help:"Address of the sidecar's operators listener ([operators] listen)."`
	JSON    bool   `help:"Print JSON." name:"json"`
}

var errFleetDisabled = errors.New("fleet reports are disabled in the sidecar: set [fleet] enabled = true in its options")

func (c *fleetShow) Run(out io.Writer) error {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + c.Address + "/fleet")
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // the body was read or is not needed
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
	printer.Printf("member %d: %.0f %% of %d members are reachable", s.Number, 100*s.ReachableShare, len(s.Members))
	for _, f := range []struct {
		on   bool
		text string
	}{{s.CutOff, "cut off: it receives from no other member"}, {s.Stale, "stale: it was suspended and has received nothing since"}} {
		if f.on {
			printer.Printf("; %s", f.text)
		}
	}
	printer.Println()
	t := output.NewTable(out, 0, 0, 2, ' ', 0)
	t.Println("member\treachability\tlast datagram\tlast heartbeat\tcomplete as of\treceived\tincarnation\treceives from")
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
	t.Println("\nclass\ttenant\treceived\tretried\tserved\tno capacity\tover budget\trejected\tfailed")
	for _, c := range s.Sums.Cells {
		t.Printf("%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", c.Class, c.Tenant, c.Received, c.Retried, c.Served, c.RefusedCapacity,
			c.RefusedBudget, c.RefusedOther, c.Failed)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	printer.Printf("each counter is at least the value shown and at most %d higher (reports up to %.1f s old)", s.Sums.Unreported, s.Sums.AgeS)
	if s.Sums.UnboundedMembers > 0 {
		printer.Printf("; the counters of %d members have no upper bound", s.Sums.UnboundedMembers)
	}
	printer.Println()
	return printer.Err()
}

// formatAge formats an age in seconds; negative: never.
func formatAge(s float64) string {
	if s < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s", s)
}

// formatReceivesFrom returns one column for each member: x if datagrams of that member are received, else a dot.
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
