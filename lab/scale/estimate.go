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

// Shape is a mesh in ordinary use. Its loads are reckoned from it by construction: the sizes are those of the codec,
// the rates those of the constants of the packages named beside the terms. Nothing is played.
type Shape struct {
	Sidecars, Control, Zones int
	Members                  int     // of the register
	PackedBytes              int     // bytes of the packed configuration
	DeltaBytes               int     // bytes of a change sent as a difference
	ChangesPerS              float64 // changes of the configuration a second
	RestartsPerS             float64 // sidecars that start anew, or fail, a second
	RevisionsPerRestart      float64 // changes of the directory that each of them causes
	Fanout                   float64 // children of a relay

	// What follows is of the planned mechanisms alone.
	CalledServices int // services that a sidecar calls
	SubsetSize     int // servers of each that it is sent
}

// Term is one part of a role's load, in bytes a second, and the mechanism that carries it.
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

// Rates of the packages that send.
var (
	updatesPerS      = float64(time.Second) / float64(timing.Default().Dissemination.HeartbeatInterval)
	machineListsPerS = updatesPerS / 3
	heartbeatsPerS   = float64(time.Second) / float64(timing.Default().Subscription.ReportInterval)
	hellosPerS       = 1 / 0.3 // controlplane.helloInterval
	roundsPerS       = 1 / 0.3 // register.refresh
	probesPerS       = 2 / 0.4 // membership.Config.ProbeInterval: pings, and acks of as many
)

// frameSizes holds the bytes of what frames are made of.
type frameSizes struct {
	update, heartbeat, report, hello, alive, entry, machine, read, readReply, probe float64
}

// sampleFrameSizes measures them by the codec, for names of the length that the measured runs have.
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
		probe:     alone(&wire.FrameT{Kind: wire.Probe, From: e.Node, Id: 1}) - wire.LengthSize, // a datagram has no length ahead of it
		read:      alone(codec.RegisterToFrame(&read)),
		readReply: alone(codec.RegisterToFrame(&readReply)),
	}
}

// AsBuilt reckons the loads of what stands in the code.
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
	probes := Term{Leaf, "probes of other sidecars", "datagrams, one asked each 0.4 s, and answers", probesPerS * u.probe, probesPerS * u.probe}
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

// roleOf are the terms of what comes down the tree, passed on to so many children.
func termsForRole(role string, down []Term, children float64) (all []Term) {
	for _, t := range down {
		t.Role, t.Out = role, children*t.In
		all = append(all, t)
	}
	return all
}

// Sizes that the planned mechanisms are designed for, in bytes.
const (
	plannedUpdateBytes    = 48.    // a frame with a version, a digest and an age, without the empty texts of today's
	plannedHeartbeatBytes = 64.    // a frame upwards with a digest of the incarnations below
	plannedLivenessBytes  = 1. / 8 // a bit at a sidecar's number in its zone
	plannedHelloBytes     = 96.    // versions and digests of the shards, between control machines
	plannedFrameBytes     = 48.    // around a difference
	plannedFanout         = 10.    // children of a relay
	machineListIntervalS  = 3600.  // seconds between two whole lists of control machines
)

// Planned reckons the loads of the mechanisms of issue 50: subsets by route, differences, digests, heartbeats as bits
// that relays join, a tree in each zone under one relay that has its news from the control machines, and a directory
// in shards, of which each change is passed on by one control machine. The sizes of frames are designs, not
// measurements. Of relays the one at the top of a zone is reckoned, which has the most to do.
func (s Shape) Planned() []Term {
	u := sampleFrameSizes()
	n, control, zones := float64(s.Sidecars), float64(s.Control), float64(s.Zones)
	change := u.entry + plannedFrameBytes
	changes := s.RestartsPerS * s.RevisionsPerRestart // of the whole directory, a second
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
			heartbeatsPerS * (plannedFanout*plannedHeartbeatBytes + n/zones*plannedLivenessBytes), heartbeatsPerS * (plannedHeartbeatBytes + n/zones*plannedLivenessBytes)},
		Term{Relay, "probes of other sidecars", "as built, but of its subset alone", probesPerS * u.probe, probesPerS * u.probe},
	)
	top := 2 * zones / control // relays at zones' tops that a control machine serves: two a zone, of which one passes on
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

// Starts is what a sidecar is sent at its start, in bytes, as built and as planned.
func (s Shape) StartBytes() (built, planned float64) {
	u := sampleFrameSizes()
	return 2*float64(s.Sidecars)*u.entry + float64(s.PackedBytes), float64(s.CalledServices*s.SubsetSize)*u.entry + float64(s.PackedBytes)
}

// WriteTerms prints terms with the sum of each role.
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
