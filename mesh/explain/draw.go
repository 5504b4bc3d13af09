package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// MaxColumns bounds the nodes in a timeline.
	MaxColumns = 8
	// minColumnWidth is the smallest width of a column, in characters.
	minColumnWidth = 8
)

// Draw returns the findings as a timeline in text, with a row for each start or end of a finding and a column for each of the first
// MaxColumns nodes. Times are in seconds since the first finding that is drawn. Draw returns "" if there is none.
func Draw(findings []Finding) string {
	rows := timelineFindings(findings)
	if len(rows) == 0 {
		return ""
	}
	d := &timeline{from: rows[0].From, nodes: nodeColumns(rows)}
	d.writeRow("at", func(node string) string { return node })
	var open []Finding // unhealthy servers whose recovery is not yet drawn, by time of recovery
	for _, f := range rows {
		for len(open) > 0 && open[0].To.Before(f.From) {
			d.writeFinding(open[0].To, open[0], recoveredCell)
			open = open[1:]
		}
		d.writeFinding(f.From, f, f.Kind.cell())
		if f.Kind == Unhealthy && f.To.After(f.From) {
			open = append(open, f)
			slices.SortFunc(open, func(a, b Finding) int { return a.To.Compare(b.To) })
		}
	}
	for _, f := range open {
		d.writeFinding(f.To, f, recoveredCell)
	}
	return d.text.String()
}

// timelineFindings returns the findings that a timeline shows.
func timelineFindings(findings []Finding) []Finding {
	var rows []Finding
	for _, f := range findings {
		if f.Kind.cell() != "" {
			rows = append(rows, f)
		}
	}
	return rows
}

// nodeColumns returns the first MaxColumns nodes of the findings.
func nodeColumns(rows []Finding) []string {
	var nodes []string
	for _, f := range rows {
		for _, n := range f.Nodes {
			if !slices.Contains(nodes, n) && len(nodes) < MaxColumns {
				nodes = append(nodes, n)
			}
		}
	}
	return nodes
}

// timeline is a timeline that is being written.
type timeline struct {
	from  time.Time
	nodes []string
	text  strings.Builder
}

// writeFinding writes a row with the given cell in the columns of the finding's nodes.
func (d *timeline) writeFinding(at time.Time, f Finding, cell string) {
	d.writeRow(fmt.Sprintf("%.2f", at.Sub(d.from).Seconds()), func(node string) string {
		if slices.Contains(f.Nodes, node) {
			return cell
		}
		return "."
	})
}

func (d *timeline) writeRow(at string, cell func(node string) string) {
	var row strings.Builder
	_, _ = fmt.Fprintf(&row, "%-8s", at) // a builder never fails
	for _, n := range d.nodes {
		_, _ = fmt.Fprintf(&row, " %-*s", max(len(n), minColumnWidth), cell(n))
	}
	d.text.WriteString(strings.TrimRight(row.String(), " ") + "\n")
}
