// Package explain reads the log lines of many programs of a mesh and reports what happened, in which order and why, with the lines that
// show it. It knows only the log lines that the programs write, of this release and the one before: it uses no process, socket or clock.
// Where the logs show no cause it names none.
//
// Start reading at Read, then Find.
package explain

import (
	"fmt"
	"slices"
	"time"
)

// mergeWindow is how far apart the same may happen to several machines to count as one finding.
const mergeWindow = 2 * time.Second

// The causes that findings name.
const (
	causePowerLostSidecar = "its process or its machine's power was lost: what its server ran then could not be answered"
	causePowerLostControl = "its process or its machine's power was lost: " +
		"the register went on without it where more than half of its members were there"
	causeStateMissing     = "its disk came back empty, or it is new: it votes once it has read from enough others"
	causeProbesUnanswered = "neither its answers to probes nor those that others asked for came, and the core had not heard of it for 1.2 s"
	causeStale            = "no majority of the core has confirmed the configuration on that way for 1.35 s: " +
		"the parent, its link, or the core's majority was gone"
	causeMemberLost   = "a member was not heard of for 4 s, and a machine stood by"
	causeStateCorrupt = "its checksum does not hold; it counts as emptied"
)

// Find returns what happened by lines that are in order, the earliest first.
func Find(lines []Line) []Finding {
	a := newAnalysis()
	for i := range lines {
		a.observe(&lines[i])
	}
	a.countFailedRequests()
	slices.SortStableFunc(a.findings, func(x, y Finding) int { return x.From.Compare(y.From) })
	return a.findings
}

// analysis is the state after some of the lines. Findings are referred to by their position, as they move in memory.
type analysis struct {
	findings        []Finding
	started         map[string]bool      // nodes whose start was seen
	shutdownAt      map[string]time.Time // when nodes began to end in order, until they start again
	openUnhealthy   map[string]int       // the open finding of a node whose server is unhealthy
	failedRequests  map[string]int       // requests without response, by node
	versionFindings map[string]int       // the finding of a version that came into force
}

func newAnalysis() *analysis {
	return &analysis{
		started:         map[string]bool{},
		shutdownAt:      map[string]time.Time{},
		openUnhealthy:   map[string]int{},
		failedRequests:  map[string]int{},
		versionFindings: map[string]int{},
	}
}

// observe handles the next line.
func (a *analysis) observe(l *Line) {
	switch eventsByMessage[l.Msg] {
	case sidecarStarted:
		a.observeStart(l, causePowerLostSidecar)
	case controlMachineStarted:
		a.observeStart(l, causePowerLostControl)
	case sidecarShutdown:
		a.shutdownAt[l.Node] = l.At
	case serverHealthChanged:
		a.observeHealth(l)
	case requestFailed:
		a.failedRequests[l.Node]++
	case sidecarLost:
		a.addFinding(l, l.field("node"), Lost, causeProbesUnanswered)
	case parentStale:
		a.addFinding(l, l.Node, StaleParent, causeStale)
	case membersReplaced:
		a.addFinding(l, l.Node, MembersChanged, causeMemberLost)
	case stateWriteFailed:
		a.addFinding(l, l.Node, DiskFailed, l.field("error"))
	case stateUnusable:
		if l.field("corrupt", "damaged") != "false" {
			a.addFinding(l, l.Node, StateCorrupt, causeStateCorrupt)
		}
	case settingsRejected:
		a.addFinding(l, l.Node, SettingsRejected, l.field("error"))
	case configRejected:
		a.addFinding(l, l.Node, ConfigRejected, l.field("error"))
	case configCommitted:
		a.observeCommit(l)
	}
}

// add records a finding for a node, which joins one of the same kind and cause elsewhere that was just now.
func (a *analysis) addFinding(l *Line, node string, kind Kind, cause string) *Finding {
	for i := len(a.findings) - 1; i >= 0; i-- {
		f := &a.findings[i]
		if f.Kind != kind || f.Cause != cause || l.At.Sub(f.To) > mergeWindow {
			continue
		}
		f.To = l.At
		f.addNode(node)
		f.Lines++
		return f
	}
	a.findings = append(a.findings, Finding{From: l.At, To: l.At, Nodes: []string{node}, Kind: kind, Cause: cause, Lines: 1})
	return &a.findings[len(a.findings)-1]
}

// addNode reports whether the node is a new one.
func (f *Finding) addNode(node string) bool {
	if slices.Contains(f.Nodes, node) {
		return false
	}
	f.Nodes = append(f.Nodes, node)
	return true
}

// observeStart records that a program has started; its first start is no finding.
func (a *analysis) observeStart(l *Line, crashCause string) {
	restarted := a.started[l.Node]
	a.started[l.Node] = true
	if l.field("voter") == "false" {
		a.addFinding(l, l.Node, StartedAsNonVoter, causeStateMissing)
	}
	if !restarted {
		return
	}
	shutdownAt, graceful := a.shutdownAt[l.Node]
	if !graceful {
		a.addFinding(l, l.Node, Crashed, crashCause)
		return
	}
	delete(a.shutdownAt, l.Node)
	if f := a.addFinding(l, l.Node, Restarted, ""); shutdownAt.Before(f.From) {
		f.From = shutdownAt
	}
}

// observeHealth records that a sidecar's verdict on its server's health has changed. Each server is a finding of its own.
func (a *analysis) observeHealth(l *Line) {
	if i, open := a.openUnhealthy[l.Node]; open {
		a.findings[i].To = l.At
		a.findings[i].Lines++
		delete(a.openUnhealthy, l.Node)
	}
	if l.field("unhealthy", "ill") != "true" {
		return
	}
	a.openUnhealthy[l.Node] = len(a.findings)
	a.findings = append(a.findings, Finding{
		From:  l.At,
		To:    l.At,
		Nodes: []string{l.Node},
		Kind:  Unhealthy,
		Cause: "server " + l.field("server") + " failed more than a fifth of the requests that its sidecar let in, whatever it says of itself",
		Lines: 1,
	})
}

// observeInForce records that a control machine has learned of a version: from the first to the last is one finding.
func (a *analysis) observeCommit(l *Line) {
	version := l.field("edition", "version")
	i, seen := a.versionFindings[version]
	if !seen {
		i = len(a.findings)
		a.versionFindings[version] = i
		a.findings = append(a.findings, Finding{From: l.At, Kind: ConfigInForce, Detail: "edition " + version})
	}
	f := &a.findings[i]
	if f.addNode(l.Node) { // who learns of it again has started anew
		f.To = l.At
	}
	f.Lines++
}

// countFailedRequests adds to each server that was unhealthy how many of its requests had no response.
func (a *analysis) countFailedRequests() {
	for i := range a.findings {
		f := &a.findings[i]
		if f.Kind != Unhealthy {
			continue
		}
		if n := a.failedRequests[f.Nodes[0]]; n > 0 {
			f.Cause += fmt.Sprintf("; %d of its runs without an answer are logged", n)
		}
	}
}
