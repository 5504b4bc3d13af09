package explain

import (
	"fmt"
	"strings"
	"time"
)

// Kind is the kind of a finding.
type Kind int

// The kinds of findings.
const (
	// Crashed: a program started again without a graceful shutdown.
	Crashed Kind = iota + 1
	// Restarted: a program shut down gracefully and started again.
	Restarted
	// StartedAsNonVoter: a control machine started without usable state on disk, so it may not vote yet.
	StartedAsNonVoter
	// Unhealthy: a sidecar considered its server unhealthy because of the results of requests.
	Unhealthy
	// Lost: the control machines considered a sidecar lost.
	Lost
	// StaleParent: a sidecar left a stale parent.
	StaleParent
	// MembersChanged: the members of the register changed.
	MembersChanged
	// DiskFailed: the register's state could not be written to a disk.
	DiskFailed
	// StateCorrupt: the register's state on a disk was corrupt.
	StateCorrupt
	// SettingsRejected: a settings file was invalid.
	SettingsRejected
	// ConfigInForce: a version of the configuration was committed.
	ConfigInForce
	// ConfigRejected: a configuration was invalid for a sidecar.
	ConfigRejected
)

// kindLabels holds the label of each kind in a line of text, and in a cell of a timeline. Kinds with an empty cell are not drawn.
var kindLabels = map[Kind]struct{ text, cell string }{
	Crashed:           {"started again without having ended", "killed"},
	Restarted:         {"ended in order and started again", "restart"},
	StartedAsNonVoter: {"a core machine is up without its disk's vote", "no-vote"},
	Unhealthy:         {"a server counts as ill", "ill"},
	Lost:              {"counted as lost by the others", "lost"},
	StaleParent:       {"turned away from a parent that had nothing fresh", "stale"},
	MembersChanged:    {"the core's members change", "members"},
	DiskFailed:        {"a disk refuses the register", "disk"},
	StateCorrupt:      {"a register was damaged", "damaged"},
	SettingsRejected:  {"settings are invalid", "settings"},
	ConfigInForce:     {"a configuration comes into force", ""},
	ConfigRejected:    {"a configuration is invalid", "refused"},
}

// recoveredCell marks the end of an Unhealthy finding in a timeline.
const recoveredCell = "well"

// cell returns the kind's label in a timeline, or "" if the kind is not drawn.
func (k Kind) cell() string { return kindLabels[k].cell }

// Finding is an event that happened to one or several nodes, found from log lines.
type Finding struct {
	From, To time.Time
	Kind     Kind
	Detail   string   // distinguishes it from other findings of its kind; may be empty
	Nodes    []string // the nodes that it happened to, in order of time
	Cause    string   // empty if the logs do not show it
	Lines    int      // number of lines that show it
}

// maxNamedNodes bounds the nodes that the text of a finding names.
const maxNamedNodes = 4

// String returns a line of text, followed by a second line with the cause if there is one.
func (f *Finding) String() string {
	text := f.From.UTC().Format("15:04:05.000")
	if d := f.To.Sub(f.From); d >= time.Millisecond {
		text += fmt.Sprintf(" for %v", d.Round(time.Millisecond))
	}
	text += "  " + kindLabels[f.Kind].text
	if f.Detail != "" {
		text += " (" + f.Detail + ")"
	}
	text += ": " + abbreviate(f.Nodes)
	if f.Cause != "" {
		text += "\n    " + f.Cause
	}
	return text
}

// abbreviate joins the first maxNamedNodes names and counts the others.
func abbreviate(names []string) string {
	if len(names) <= maxNamedNodes {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamedNodes], ", "), len(names)-maxNamedNodes)
}
