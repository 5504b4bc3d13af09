package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults: of the mesh's processes, of the links between them, of servers, clients and operators.
const (
	ProxyKill     Kind = "proxy_kill"    // a sidecar is killed, and started again after For
	ProxyHerd     Kind = "proxy_herd"    // half of the sidecars are killed at once
	ProxyPause    Kind = "proxy_pause"   // a sidecar is stopped and continued (SIGSTOP, SIGCONT)
	ProxyTerm     Kind = "proxy_term"    // a sidecar shuts down gracefully (SIGTERM), and is started again
	ProxyReload   Kind = "proxy_reload"  // a sidecar's settings change (SIGHUP)
	ControlKill   Kind = "control_kill"  // a control machine is killed
	ControlPause  Kind = "control_pause" // a control machine is stopped and continued
	ControlTerm   Kind = "control_term"  // a control machine shuts down gracefully, and is started again
	ControlWipe   Kind = "control_wipe"  // as many control machines as the tolerance are killed and lose their disks
	ControlAll    Kind = "control_all"   // all control machines are killed at once
	AllKill       Kind = "all_kill"      // all processes are killed at once
	AckKill       Kind = "ack_kill"      // a control machine is killed right after it has acknowledged a configuration
	CloseKill     Kind = "close_kill"    // a sidecar is killed right after it has acknowledged its server's closing
	CoreHalves    Kind = "core_halves"   // the control machines are partitioned into two halves
	CoreOff       Kind = "core_off"      // a control machine is partitioned from all others
	NodeCut       Kind = "node_cut"      // a sidecar is partitioned from all others
	OneWayCut     Kind = "one_way_cut"   // messages from a machine are lost, those to it are not
	LinkSlow      Kind = "link_slow"     // the links of a machine are delayed by slowLink
	LinkReset     Kind = "link_reset"    // the connections of a machine are reset
	AnswerLost    Kind = "answer_lost"   // responses of a last hop are lost with their connection
	ServerCrash   Kind = "server_crash"  // a server ends without notice, and is replaced
	ServerClose   Kind = "server_close"  // a server announces its closing, leaves and is replaced
	ServerLeave   Kind = "server_leave"  // a server leaves without announcing it, serves for a while, and is replaced
	ServerSlow    Kind = "server_slow"
	ServerDrop    Kind = "server_drop"   // a server runs requests and closes the connection without a response
	ServerGarble  Kind = "server_garble" // a server responds with bytes that are no HTTP response
	ServerRefuse  Kind = "server_refuse"
	ClientLeave   Kind = "client_leave" // clients cancel requests early
	ConfigStorm   Kind = "config_storm" // configurations in quick succession
	ConfigRace    Kind = "config_race"  // two contents of one version are sent at once, to two control machines
	ConfigInvalid Kind = "config_invalid"
	// ShutdownKill: a server announces its closing or leaves while its last heartbeats are delayed; processes are killed right after the
	// acknowledgement, and the heartbeats arrive when these have started again. It is drawn apart from the others.
	ShutdownKill Kind = "shutdown_kill"
)

// weights are the weights by which kinds are drawn.
var weights = []struct {
	kind   Kind
	weight int
}{
	{ProxyKill, 4}, {ProxyHerd, 1}, {ProxyPause, 3}, {ProxyTerm, 5}, {ProxyReload, 2},
	{ControlKill, 4}, {ControlPause, 3}, {ControlTerm, 3}, {ControlWipe, 2}, {ControlAll, 1}, {AllKill, 1}, {AckKill, 2}, {CloseKill, 2},
	{CoreHalves, 2}, {CoreOff, 2}, {NodeCut, 3}, {OneWayCut, 2}, {LinkSlow, 2}, {LinkReset, 3}, {AnswerLost, 3},
	{ServerCrash, 2}, {ServerClose, 3}, {ServerLeave, 3}, {ServerSlow, 2}, {ServerDrop, 2}, {ServerGarble, 2}, {ServerRefuse, 1},
	{ClientLeave, 2}, {ConfigStorm, 2}, {ConfigRace, 2}, {ConfigInvalid, 1},
}

// Fault is one fault of a plan.
type Fault struct {
	At     time.Duration `json:"at"`  // since the start of traffic
	For    time.Duration `json:"for"` // until it is over, or the processes that it ended start again
	Kind   Kind          `json:"kind"`
	Target int           `json:"target"` // selects a machine or server, depending on the kind
	Other  int           `json:"other"`  // selects a variant of the kind
}

// String returns a fault as it is shown in the event log.
func (t Fault) String() string {
	return fmt.Sprintf("%s target=%d other=%d for=%v", t.Kind, t.Target, t.Other, t.For)
}

const (
	// quietStart and quietEnd are the times without new faults at the start and the end of a run.
	quietStart = time.Second
	quietEnd   = 2 * time.Second
	// A fault starts minGap to minGap+gapJitter after the one before, and lasts minDuration to minDuration+durationJitter, so that two or
	// three overlap.
	minGap         = 200 * time.Millisecond
	gapJitter      = 1200 * time.Millisecond
	minDuration    = 200 * time.Millisecond
	durationJitter = 3 * time.Second
	maxChoice      = 1 << 16
	// A ShutdownKill starts minShutdownGap to minShutdownGap+shutdownGapJitter after the one before: each takes a server for long.
	minShutdownGap    = 2 * time.Second
	shutdownGapJitter = 4 * time.Second
	// weightedStream and shutdownStream are the second halves of the seeds of the random number generators.
	weightedStream = 1
	shutdownStream = 2
)

// Plan draws the faults of a run. The same seed and length give the same plan. An empty only allows all kinds.
func Plan(seed uint64, length time.Duration, only []Kind) []Fault {
	plan := slices.Concat(planWeighted(seed, length, only), planShutdowns(seed, length, only))
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// planShutdowns draws the faults of the kind ShutdownKill. They have a stream of random numbers of their own, so that a seed has the other
// faults that it had before this kind.
func planShutdowns(seed uint64, length time.Duration, only []Kind) (plan []Fault) {
	if len(only) > 0 && !slices.Contains(only, ShutdownKill) {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, shutdownStream))
	gap := func() time.Duration { return minShutdownGap + time.Duration(random.Int64N(int64(shutdownGapJitter))) }
	for at := quietStart + gap()/2; at < length-quietEnd; at += gap() {
		plan = append(plan, Fault{
			At:     at,
			For:    minDuration + time.Duration(random.Int64N(int64(durationJitter/2))),
			Kind:   ShutdownKill,
			Target: random.IntN(maxChoice),
			Other:  random.IntN(maxChoice),
		})
	}
	return plan
}

// planWeighted draws the faults of the kinds in weights.
func planWeighted(seed uint64, length time.Duration, only []Kind) (plan []Fault) {
	if len(only) > 0 && !slices.ContainsFunc(only, isWeighted) {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, weightedStream))
	for at := quietStart; at < length-quietEnd; at += minGap + time.Duration(random.Int64N(int64(gapJitter))) {
		plan = append(plan, Fault{
			At:     at,
			For:    minDuration + time.Duration(random.Int64N(int64(durationJitter))),
			Kind:   drawKind(random, only),
			Target: random.IntN(maxChoice),
			Other:  random.IntN(maxChoice),
		})
	}
	return plan
}

// isWeighted reports whether a kind is in weights.
func isWeighted(kind Kind) bool { return slices.Contains(weightedKinds(), kind) }

// drawKind draws a kind by weight from those in only, or from all kinds if only is empty.
func drawKind(random *rand.Rand, only []Kind) Kind {
	total := 0
	for _, w := range weights {
		if len(only) == 0 || slices.Contains(only, w.kind) {
			total += w.weight
		}
	}
	drawn := random.IntN(max(total, 1))
	for _, w := range weights {
		if len(only) > 0 && !slices.Contains(only, w.kind) {
			continue
		}
		if drawn -= w.weight; drawn < 0 {
			return w.kind
		}
	}
	return ProxyKill
}

// Kinds returns all kinds of faults.
func Kinds() []Kind { return append(weightedKinds(), ShutdownKill) }

func weightedKinds() (all []Kind) {
	for _, w := range weights {
		all = append(all, w.kind)
	}
	return all
}
