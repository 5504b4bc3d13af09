package members

import (
	"time"

	"firplank/mesh/register"
	"firplank/mesh/replacement"
	"firplank/mesh/timing"
)

// Environment describes the machines of an order and the faults that may occur in it.
type Environment struct {
	Machines, Faults int
	Tolerance        int           // number of machines that may be lost at the same time; 0 means one
	Stalled          bool          // the disk of the last machine, a stand-by, completes no write, and the machine reports it
	Sync             time.Duration // maximum duration of a disk's sync, in place of some milliseconds
	Blank            bool          // as Stalled, but the disk is empty, so the machine is no voter, and it does not detect the fault
}

// DefaultEnvironments are the environments that the tests and the command use.
var DefaultEnvironments = []Environment{{Machines: 3, Faults: 4}, {Machines: 4, Faults: 4}, {Machines: 5, Faults: 4},
	{Machines: 5, Faults: 3, Stalled: true}, {Machines: 5, Faults: 3, Blank: true}, {Machines: 7, Faults: 3, Tolerance: 2}}

// Defect is a fault planted in the simulated environment. It acts like a bug of the program.
type Defect struct {
	Name        string
	Environment Environment
	Seed        uint64 // seed of an order that finds the defect
	LosesData   bool   // the defect loses a confirmed version; otherwise it makes operators wait for too long

	formerTimings        bool // timings are the former constants
	reportsBeforeSync    bool // a machine reports state that its disk does not have yet
	leavesAtOnce         bool // a machine that is asked to leave stops at once
	votesWhenEmptied     bool // a machine with an emptied disk votes at once
	hidesStandByState    bool // all machines report that they are voters with a working disk
	newMembersWriteAlone bool // a change of members is written only by the new members
	ignoresTolerance     bool // there are three members whatever the tolerance is
}

// Defects are the planted defects that a search must find.
var Defects = []Defect{
	{Name: "timings are constants that take no account of syncS",
		Environment: Environment{Machines: 3, Faults: 6}, Seed: 8, formerTimings: true},
	{Name: "a copy counts before the disk has it",
		Environment: Environment{Machines: 3, Faults: 4}, Seed: 117, reportsBeforeSync: true, LosesData: true},
	{Name: "a machine that is asked to leave ends at once",
		Environment: Environment{Machines: 4, Faults: 6}, Seed: 2, leavesAtOnce: true},
	{Name: "an emptied disk is a voter at once",
		Environment: Environment{Machines: 3, Faults: 4}, Seed: 225, votesWhenEmptied: true, LosesData: true},
	{Name: "a stand-by whose disk fails is taken in",
		Environment: Environment{Machines: 5, Faults: 6, Stalled: true}, Seed: 2, hidesStandByState: true},
	{Name: "a stand-by that is no voter is taken in",
		Environment: Environment{Machines: 5, Faults: 6, Blank: true}, hidesStandByState: true},
	{Name: "a change of members is written by the new members alone",
		Environment: Environment{Machines: 4, Faults: 6}, newMembersWriteAlone: true},
	{Name: "the members are three, whatever the tolerance",
		Environment: Environment{Machines: 7, Faults: 3, Tolerance: 2}, ignoresTolerance: true},
}

// durations are the timings of a deployment with the default settings.
var durations = timing.Default()

// timeouts returns the program's time-outs, or with formerTimings the former constants.
func (d *Defect) timeouts() timing.Replacement {
	t := durations.Replacement
	if d.formerTimings {
		t.HelloInterval, t.CheckInterval, t.MaxContactAge = 300*time.Millisecond, 300*time.Millisecond, time.Second
		t.DetectionTimeout, t.ObservationPeriod, t.ChangeTimeout, t.MinChangeInterval = 4*time.Second, 6*time.Second, 3*time.Second, 3*time.Second
		t.Lease = timing.NewLease(timing.DefaultVoteDuration)
	}
	return t
}

// registerTiming returns the timing of the register's rounds.
func (d *Defect) registerTiming() timing.Register { return durations.Register }

// tolerance returns the tolerance that machines are configured with.
func (d *Defect) tolerance(actual int) int {
	if d.ignoresTolerance {
		return 1
	}
	return actual
}

// writeByNewMembers writes a change to the disks of the proposing machine and of the successors only, if the defect is planted.
func (d *Defect) writeByNewMembers(m *machine, c replacement.Change) {
	if !d.newMembersWriteAlone || m.disk == nil {
		return
	}
	s := *m.disk
	s.Value.Members, s.Value.PriorMembers = c.Members, nil
	s.Accepted = register.Ballot{Number: s.Promised.Number + 1, Proposer: m.name}
	s.Promised = s.Accepted
	for _, name := range append([]string{m.name}, c.Successors...) {
		target := m.world.machineNamed(name)
		if !target.up() || target.pendingWrite != nil {
			continue
		}
		own := s
		target.disk = &own
		target.replica = register.New(target.name, c.Members, false, target.disk, 99)
		target.startPipeline()
	}
}
