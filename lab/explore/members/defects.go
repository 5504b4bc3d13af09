package members

import (
	"time"

	"firplank/mesh/register"
	"firplank/mesh/replacement"
	"firplank/mesh/timing"
)

// Surroundings are what an order is played in.
type Environment struct {
	Machines, Faults int
	Tolerance        int           // machines that may be lost at once; 0: one
	Stalled          bool          // the last machine, a stand-by, has a disk that takes nothing, and reports so
	Sync             time.Duration // a sync of a disk takes so long at most, in place of some milliseconds
	Blank            bool          // the same, but its disk is empty, so that it is no voter, and the fault of the disk goes unnoticed
}

// Usual surroundings are those of the tests.
var DefaultEnvironments = []Environment{{Machines: 3, Faults: 4}, {Machines: 4, Faults: 4}, {Machines: 5, Faults: 4},
	{Machines: 5, Faults: 3, Stalled: true}, {Machines: 5, Faults: 3, Blank: true}, {Machines: 7, Faults: 3, Tolerance: 2}}

// Defect is a mistake planted in the surroundings, as if the program made it.
type Defect struct {
	Name        string
	Environment Environment
	Seed        uint64 // of an order that finds it
	LosesData   bool   // what breaks is that a confirmed version is lost; else that operators are answered no more

	formerTimings        bool // timings are the constants of before
	reportsBeforeSync    bool // a machine reports what its disk has not
	leavesAtOnce         bool // a machine that is asked to leave ends at once
	votesWhenEmptied     bool // an emptied disk is a voter at once
	hidesStandByState    bool // a stand-by is taken for a sound voter, whatever it reports
	newMembersWriteAlone bool // a change of members is written by the new members alone
	ignoresTolerance     bool // the members are three, whatever the tolerance
}

// Defects are those that a search must find.
var Defects = []Defect{
	{Name: "timings are constants that take no account of syncS", Environment: Environment{Machines: 3, Faults: 6}, Seed: 8, formerTimings: true},
	{Name: "a copy counts before the disk has it", Environment: Environment{Machines: 3, Faults: 4}, Seed: 117, reportsBeforeSync: true, LosesData: true},
	{Name: "a machine that is asked to leave ends at once", Environment: Environment{Machines: 4, Faults: 6}, Seed: 2, leavesAtOnce: true},
	{Name: "an emptied disk is a voter at once", Environment: Environment{Machines: 3, Faults: 4}, Seed: 225, votesWhenEmptied: true, LosesData: true},
	{Name: "a stand-by whose disk fails is taken in", Environment: Environment{Machines: 5, Faults: 6, Stalled: true}, Seed: 2, hidesStandByState: true},
	{Name: "a stand-by that is no voter is taken in", Environment: Environment{Machines: 5, Faults: 6, Blank: true}, hidesStandByState: true},
	{Name: "a change of members is written by the new members alone", Environment: Environment{Machines: 4, Faults: 6}, newMembersWriteAlone: true},
	{Name: "the members are three, whatever the tolerance", Environment: Environment{Machines: 7, Faults: 3, Tolerance: 2}, ignoresTolerance: true},
}

// durations are those of a deployment with the pages' settings.
var durations = timing.Default()

// timeouts are the program's, or what they were when they were constants.
func (d *Defect) timeouts() timing.Replacement {
	t := durations.Replacement
	if d.formerTimings {
		t.HelloInterval, t.CheckInterval, t.MaxContactAge = 300*time.Millisecond, 300*time.Millisecond, time.Second
		t.DetectionTimeout, t.ObservationPeriod, t.ChangeTimeout, t.MinChangeInterval = 4*time.Second, 6*time.Second, 3*time.Second, 3*time.Second
		t.Lease = timing.NewLease(timing.DefaultVoteDuration)
	}
	return t
}

// rounds is the timing of the register's rounds.
func (d *Defect) registerTiming() timing.Register { return durations.Register }

// tolerance is what the machines are told of the surroundings' tolerance.
func (d *Defect) tolerance(actual int) int {
	if d.ignoresTolerance {
		return 1
	}
	return actual
}

// usurpMembers writes a change on the disks of the machine that asks for it and of the successors, and nowhere else.
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
