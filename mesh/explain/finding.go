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
	// Crashed: a program started again without having ended.
	Crashed Kind = iota + 1
	// Restarted: a program ended in order and started again.
	Restarted
	// VotelessStart: a control machine started without its disk's vote.
	StartedAsNonVoter
	// Unhealthy: a sidecar judged its server unhealthy by the outcomes of requests.
	Unhealthy
	// Lost: a machine gave no sign of life to the others.
	Lost
	// StaleParent: a sidecar left a parent whose updates were not fresh.
	StaleParent
	// MembersChanged: the members of the register changed.
	MembersChanged
	// DiskFailed: a disk refused the register's state.
	DiskFailed
	// StoreDamaged: the state on a disk was damaged.
	StateCorrupt
	// SettingsRejected: a settings file could not be used.
	SettingsRejected
	// ConfigInForce: a version of the configuration came into force.
	ConfigInForce
	// ConfigRejected: a sidecar could not use a configuration.
	ConfigRejected
)

// kindTexts are how a kind is shown: in a line, and in a cell of a drawing (empty: it is not drawn).
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
	SettingsRejected:  {"settings cannot be used", "settings"},
	ConfigInForce:     {"a configuration comes into force", ""},
	ConfigRejected:    {"a configuration cannot be used", "refused"},
}

// recovered is the cell of the end of an Unhealthy finding.
const recoveredCell = "well"

// cell returns how a drawing shows the kind; empty: it doesn't.
func (k Kind) cell() string { return kindLabels[k].cell }

// Finding is something that happened.
type Finding struct {
	From, To time.Time
	Kind     Kind
	Detail   string   // distinguishes it from others of its kind; may be empty
	Nodes    []string // that it happened to, in order
	Cause    string   // empty: the logs do not show it
	Lines    int      // how many lines show it
}

// maxNamedNodes is how many nodes the text of a finding names.
const maxNamedNodes = 4

// String returns one line of text, and a second one with the cause, if there is one.
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

// abbreviate names the first of many.
func abbreviate(names []string) string {
	if len(names) <= maxNamedNodes {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamedNodes], ", "), len(names)-maxNamedNodes)
}
