// Package explain reads the logs of many programs of a mesh and reports what happened, in which order and why. It uses only the log lines
// that the programs write, in the wording of this release and of earlier ones, and no processes, sockets or clock. It names a cause only
// where the logs show one.
//
// Start reading at Read, then Find.
package explain

import (
	"fmt"
	"slices"
	"time"
)

// mergeWindow is the longest time between equal events on several nodes that are merged to one finding.
const mergeWindow = 2 * time.Second

// The causes that findings name.
const (
	causePowerLostSidecar = "its process or its machine's power was lost: what its server ran then could not be answered"
	causePowerLostControl = "its process or its machine's power was lost: " +
		"the register remained available if more than half of its members were running"
	causeStateMissing     = "its disk came back empty, or it is new: it votes once it has read from enough others"
	causeProbesUnanswered = "neither its answers to probes nor those that others asked for came, and the core had not heard of it for 1.2 s"
	causeStale            = "no majority of the core has confirmed the configuration on that way for 1.35 s: " +
		"the parent, its link, or the core's majority was gone"
	causeMemberLost   = "a member was not heard of for 4 s, and a machine stood by"
	causeStateCorrupt = "its checksum does not hold; it counts as emptied"
)

// Find returns the findings of sorted lines, the earliest first.
func Find(lines []Line) []Finding {
	a := newAnalysis()
	for i := range lines {
		a.observe(&lines[i])
	}
	a.countFailedRequests()
	slices.SortStableFunc(a.findings, func(x, y Finding) int { return x.From.Compare(y.From) })
	return a.findings
}

// analysis is the state of Find. It refers to findings by index, as appending moves them in memory.
type analysis struct {
	findings        []Finding
	started         map[string]bool      // nodes with a start in the logs
	shutdownAt      map[string]time.Time // start of a graceful shutdown, by node; removed by the next start
	openUnhealthy   map[string]int       // index of the last Unhealthy finding, by node, until its server recovers
	failedRequests  map[string]int       // requests without response, by node
	versionFindings map[string]int       // index of the ConfigInForce finding, by version
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

// observe processes the next line.
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

// addFinding adds a finding for a node. It is merged with a finding of the same kind and cause that ended at most mergeWindow before.
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

// addNode adds a node to the finding, unless it has the node already. It reports whether the node was added.
func (f *Finding) addNode(node string) bool {
	if slices.Contains(f.Nodes, node) {
		return false
	}
	f.Nodes = append(f.Nodes, node)
	return true
}

// observeStart processes the start of a program. The first start in the logs is not a finding.
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

// observeHealth processes a change of a server's health. Findings of several servers are not merged.
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

// observeCommit processes the commit of a version on a control machine. The commits of one version on all control machines are one finding.
func (a *analysis) observeCommit(l *Line) {
	version := l.field("edition", "version")
	i, seen := a.versionFindings[version]
	if !seen {
		i = len(a.findings)
		a.versionFindings[version] = i
		a.findings = append(a.findings, Finding{From: l.At, Kind: ConfigInForce, Detail: "edition " + version})
	}
	f := &a.findings[i]
	if f.addNode(l.Node) { // a repeated commit on one node follows a restart
		f.To = l.At
	}
	f.Lines++
}

// countFailedRequests adds the number of requests without a response to the cause of each Unhealthy finding.
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
