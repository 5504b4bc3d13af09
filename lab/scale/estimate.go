package scale

import (
	"fmt"
	"io"
	"slices"
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/register"
	"firplank/mesh/timing"
	"firplank/mesh/wire"
)

// Shape describes a mesh in ordinary use, from which its loads are calculated without a run. Frame sizes come from the
// codec, rates from the constants of the packages that send.
type Shape struct {
	Sidecars, Control, Zones int
	Members                  int     // of the register
	PackedBytes              int     // of the compressed configuration
	DeltaBytes               int     // of a configuration change sent as a delta
	ChangesPerS              float64 // configuration changes
	RestartsPerS             float64 // sidecars that restart or fail
	RevisionsPerRestart      float64 // directory changes caused by each restart
	Fanout                   float64 // children of a relay

	// The remaining fields are used by Planned only.
	CalledServices int // services that each sidecar calls
	SubsetSize     int // servers of each called service that are sent to a sidecar
}

// Term is one part of a role's load in bytes per second, and the mechanism that causes it.
type Term struct {
	Role, Part, Mechanism string
	In, Out               float64
}

// The roles.
const (
	Leaf           = "sidecar"
	Relay          = "relay"
	ControlMachine = "control machine"
	RegisterMember = "register member, besides"
)

// Rates per second of the packages that send.
var (
	updatesPerS      = float64(time.Second) / float64(timing.Default().Dissemination.HeartbeatInterval)
	machineListsPerS = updatesPerS / 3
	heartbeatsPerS   = float64(time.Second) / float64(timing.Default().Subscription.ReportInterval)
	hellosPerS       = 1 / 0.3 // controlplane.helloInterval
	roundsPerS       = 1 / 0.3 // register.refresh
	probesPerS       = 2 / 0.4 // membership.Config.ProbeInterval: pings, and acks of as many
)

// frameSizes holds the sizes in bytes of frames and of single list elements.
type frameSizes struct {
	update, heartbeat, report, hello, alive, entry, machine, read, readReply, probe float64
}

// sampleFrameSizes encodes sample frames, with names as long as those of the measured runs, and returns their sizes.
func sampleFrameSizes() frameSizes {
	e := &directory.Entry{
		Node: "hollow-000001", Incarnation: 1700000000000, Sequence: 2, Addr: "127.78.16.1:7300",
		PeerAddr: "127.78.16.1:7320", Zone: "zone-1", Service: "service-001",
		Server: "i-00000001", State: directory.Accepting, Slots: 8,
	}
	alone := func(f *wire.FrameT) float64 { return float64(encodedSize(f)) }
	with := func(t *wire.EntryT, n int) float64 {
		f := &wire.FrameT{Kind: wire.Report, From: e.Node}
		for range n {
			f.Entries = append(f.Entries, t)
		}
		return alone(f)
	}
	each := func(t *wire.EntryT) float64 { return (with(t, 11) - with(t, 1)) / 10 }
	machines := func(n int) float64 {
		update := &dissemination.Update{Version: 1}
		update.ControlMachines = slices.Repeat([]dissemination.ControlMachine{{Addr: "127.78.0.1:7320", Zone: "zone-1", LastSeen: 0}}, n)
		return alone(codec.UpdateToFrame(update, nil, time.Second))
	}
	ballot := register.Ballot{Number: 1000, Proposer: "127.78.0.1:7320"}
	read := register.Message{Kind: register.Read, Round: 1, From: ballot.Proposer, Accepted: ballot}
	readReply := read
	readReply.Kind, readReply.Promised, readReply.Voter = register.ReadReply, ballot, true
	ack := dissemination.Ack{Nonce: 3, Version: 7, LowestInForce: 7}
	heartbeat := &wire.FrameT{Kind: wire.Report, From: e.Node, Entries: []*wire.EntryT{codec.LivenessToWire(e, 0)}}
	return frameSizes{
		update:    machines(0),
		heartbeat: alone(codec.SetAck(heartbeat, ack)),
		report:    alone(codec.SetAck(&wire.FrameT{Kind: wire.Report, From: e.Node}, ack)),
		hello:     alone(&wire.FrameT{Kind: wire.Hello, From: "127.78.0.1:7320", Text: "zone-1"}),
		alive:     each(codec.LivenessToWire(e, 0)),
		entry:     each(codec.EntryToWire(e, 0)),
		machine:   (machines(11) - machines(1)) / 10,
		probe:     alone(&wire.FrameT{Kind: wire.Probe, From: e.Node, Id: 1}) - wire.LengthSize, // datagrams have no length prefix
		read:      alone(codec.RegisterToFrame(&read)),
		readReply: alone(codec.RegisterToFrame(&readReply)),
	}
}

// AsBuilt calculates the loads of the implemented mechanisms.
func (s Shape) AsBuilt() []Term {
	u := sampleFrameSizes()
	down := []Term{
		{Part: "that all is fresh", Mechanism: "a frame each 0.35 s", In: updatesPerS * u.update},
		{Part: "list of control machines", Mechanism: "whole, each third frame", In: machineListsPerS * float64(s.Control) * u.machine},
		{Part: "configuration", Mechanism: "differences, each reported upwards", In: s.ChangesPerS * (float64(s.DeltaBytes) + u.update)},
		{Part: "directory", Mechanism: "every entry that changes, of all services", In: s.RestartsPerS * s.RevisionsPerRestart * u.entry},
	}
	heartbeat := heartbeatsPerS*u.heartbeat + s.ChangesPerS*u.report
	all := termsForRole(Leaf, down, 0)
	all = append(all, Term{Leaf, "own heartbeat", "a frame each 0.7 s", 0, heartbeat})
	probes := Term{Leaf, "probes of other sidecars", "datagrams, one asked each 0.4 s, and answers",
		probesPerS * u.probe, probesPerS * u.probe}
	all = append(all, probes)
	all = append(all, termsForRole(Relay, down, s.Fanout)...)
	probes.Role = Relay
	all = append(all, probes)
	all = append(all, Term{Relay, "heartbeats, own and the children's", "a frame each, passed on one by one",
		s.Fanout * heartbeat, (s.Fanout + 1) * heartbeat})
	each, children := float64(s.Sidecars)/float64(s.Control), float64(s.Sidecars)/float64(s.Control)/(s.Fanout+1)
	others := float64(s.Control - 1)
	all = append(all, Term{ControlMachine, "heartbeats of its part of all sidecars", "a frame each, passed on by relays one by one",
		each * heartbeat, 0})
	for _, t := range down {
		all = append(all, Term{ControlMachine, t.Part + ", to relays", t.Mechanism, 0, children * t.In})
	}
	hello := hellosPerS * (u.hello + float64(s.Control)*u.machine)
	changed := s.RestartsPerS * s.RevisionsPerRestart * u.entry
	members := float64(s.Members)
	value := float64(s.PackedBytes + register.MaxRecords*register.RecordSize)
	return append(all,
		Term{ControlMachine, "who lives, to and from the others", "an entry a sidecar and heartbeat, to each other machine",
			others * each * heartbeatsPerS * u.alive, others * each * heartbeatsPerS * u.alive},
		Term{ControlMachine, "greetings with the list of control machines", "each 0.3 s to each other",
			others * hello, others * hello},
		Term{ControlMachine, "directory, to and from the others", "every change from each machine to each",
			others * changed, others * changed},
		Term{ControlMachine, "reads of the register", "a round each 0.3 s asks all members",
			roundsPerS * members * u.readReply, roundsPerS * members * u.read},
		Term{RegisterMember, "reads by all control machines", "answers to their rounds",
			roundsPerS * others * u.read, roundsPerS * others * u.readReply},
		Term{RegisterMember, "changes, at the one that proposes", "whole, with the record of past versions, to each other",
			0, s.ChangesPerS * others * value},
	)
}

// termsForRole returns the terms of a role for what it receives from its parent and forwards to each of its children.
func termsForRole(role string, down []Term, children float64) (all []Term) {
	for _, t := range down {
		t.Role, t.Out = role, children*t.In
		all = append(all, t)
	}
	return all
}

// Parameters of the planned mechanisms.
const (
	plannedUpdateBytes    = 48.    // a frame with a version, a digest and an age, without the empty fields of the present frame
	plannedHeartbeatBytes = 64.    // a frame to the parent with a digest of the incarnations below the sender
	plannedLivenessBytes  = 1. / 8 // one bit, indexed by the sidecar's number in its zone
	plannedHelloBytes     = 96.    // versions and digests of the shards, between control machines
	plannedFrameBytes     = 48.    // overhead of a frame with a delta
	plannedFanout         = 10.    // children of a relay
	machineListIntervalS  = 3600.  // seconds between two full lists of control machines
)

// Planned calculates the loads of the mechanisms of issue 50: subsets by route, deltas, digests, heartbeats as bits that
// relays merge, a tree in each zone under one relay that receives updates from the control machines, and a sharded
// directory in which each change is sent by one control machine. The frame sizes are design figures, not measurements.
// The relay terms are those of the relay at the top of a zone, which has the highest load.
func (s Shape) Planned() []Term {
	u := sampleFrameSizes()
	n, control, zones := float64(s.Sidecars), float64(s.Control), float64(s.Zones)
	change := u.entry + plannedFrameBytes
	changes := s.RestartsPerS * s.RevisionsPerRestart // of the whole directory, per second
	difference := s.ChangesPerS * (float64(s.DeltaBytes) + plannedFrameBytes)
	down := []Term{
		{Part: "that all is fresh", Mechanism: "version and digest each 0.35 s", In: updatesPerS * plannedUpdateBytes},
		{Part: "list of control machines", Mechanism: "when it changes, and once an hour", In: control * u.machine / machineListIntervalS},
		{Part: "configuration", Mechanism: "differences", In: difference},
	}
	all := termsForRole(Leaf, down, 0)
	all = append(all,
		Term{Leaf, "directory", "the subset that its routes reach", changes * float64(s.CalledServices*s.SubsetSize) / n * change, 0},
		Term{Leaf, "own heartbeat", "a frame each 0.7 s", 0, heartbeatsPerS * plannedHeartbeatBytes},
		Term{Leaf, "probes of other sidecars", "as built, but of its subset alone", probesPerS * u.probe, probesPerS * u.probe},
	)
	all = append(all, termsForRole(Relay, down, plannedFanout)...)
	all = append(all,
		Term{Relay, "directory", "every change in, each child's part out (here: all)",
			changes * change, plannedFanout * changes * change},
		Term{Relay, "heartbeats of the zone", "bits, joined by relays, a frame a child each 0.7 s",
			heartbeatsPerS * (plannedFanout*plannedHeartbeatBytes + n/zones*plannedLivenessBytes),
			heartbeatsPerS * (plannedHeartbeatBytes + n/zones*plannedLivenessBytes)},
		Term{Relay, "probes of other sidecars", "as built, but of its subset alone", probesPerS * u.probe, probesPerS * u.probe},
	)
	top := 2 * zones / control // zone relays per control machine: two in each zone, of which one forwards
	all = append(all,
		Term{ControlMachine, "heartbeats of its zones", "bits, one frame a zone's relay each 0.7 s",
			top * heartbeatsPerS * (plannedHeartbeatBytes + n/zones*plannedLivenessBytes), 0},
		Term{ControlMachine, "that all is fresh, to zones' relays", "version and digest each 0.35 s",
			0, top * updatesPerS * plannedUpdateBytes},
		Term{ControlMachine, "configuration, to zones' relays", "differences, one crossing a zone and relay",
			0, top * difference},
		Term{ControlMachine, "directory of its shard, to all zones' relays", "each change once a zone and relay",
			0, changes / control * 2 * zones * change},
		Term{ControlMachine, "versions of shards, to and from the others", "digests each 0.3 s",
			(control - 1) * hellosPerS * plannedHelloBytes, (control - 1) * hellosPerS * plannedHelloBytes},
		Term{ControlMachine, "reads of the register", "a round each 0.3 s asks all members",
			roundsPerS * float64(s.Members) * u.readReply, roundsPerS * float64(s.Members) * u.read},
	)
	return append(all,
		Term{RegisterMember, "reads by all control machines", "answers to their rounds",
			roundsPerS * (control - 1) * u.read, roundsPerS * (control - 1) * u.readReply},
		Term{RegisterMember, "changes, at the one that proposes", "differences to members and all others",
			0, (control - 1) * difference},
	)
}

// StartBytes returns the bytes that a sidecar is sent at its start, as built and as planned.
func (s Shape) StartBytes() (built, planned float64) {
	u := sampleFrameSizes()
	return 2*float64(s.Sidecars)*u.entry + float64(s.PackedBytes), float64(s.CalledServices*s.SubsetSize)*u.entry + float64(s.PackedBytes)
}

// WriteTerms prints the terms and the sum of each role.
func WriteTerms(out io.Writer, title string, terms []Term) {
	_, _ = fmt.Fprintf(out, "%s, kB/s\n", title)
	w := newTable(out, 0)
	for i := 0; i < len(terms); {
		role, in, sent := terms[i].Role, 0., 0.
		for ; i < len(terms) && terms[i].Role == role; i++ {
			t := terms[i]
			in, sent = in+t.In, sent+t.Out
			w.printf("%s\t%s\t%s\tin %.2f\tout %.2f\n", role, t.Part, t.Mechanism, t.In/1e3, t.Out/1e3)
		}
		w.printf("%s\tall\t\tin %.2f\tout %.2f\n", role, in/1e3, sent/1e3)
	}
	w.flush()
}
