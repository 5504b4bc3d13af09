package lease

// Bounds limits the events of one order.
type Bounds struct {
	Machines int
	Faults   int
	InFlight int // maximum number of messages in flight; the oldest is dropped beyond it
}

// DefaultBounds are the bounds that the tests use.
var DefaultBounds = Bounds{Machines: 3, Faults: 8, InFlight: 24}

// Defect is a fault planted in the simulated environment. It acts like a bug of the machines.
type Defect struct {
	Name string
	Seed uint64 // seed of an order that finds the defect; 0 if a search from seed 1 finds it

	noStartupDelay       bool // a machine votes as soon as it has started
	slowHolder           bool // a clock runs at half speed
	denialAsVote         bool // a denied vote is handled as granted
	soleMember           bool // one machine is its own only member
	countsForLastRequest bool // a vote counts for the latest request, whichever request it answers
	fastVoters           bool // the voters' clocks run at double speed
}

// Defects are the planted defects that a search must find.
var Defects = []Defect{
	{Name: "a machine votes as soon as it has started", Seed: 70, noStartupDelay: true},
	{Name: "a holder's clock runs at half speed", Seed: 299, slowHolder: true},
	{Name: "a denied vote is read as granted", denialAsVote: true},
	{Name: "a machine has itself as the only member", soleMember: true},
	{Name: "a vote counts for whatever was requested last", Seed: 13849, countsForLastRequest: true},
	{Name: "the voters' clocks run twice as fast", Seed: 294, fastVoters: true},
}

// clockRate returns the speed of a machine's clock relative to real time. Clocks drift by up to 500 parts per million either way.
func (d *Defect) clockRate(machine int) float64 {
	const drift = 0.0005
	switch {
	case d.slowHolder && machine == 0:
		return 0.5
	case d.fastVoters && machine > 0:
		return 2
	}
	return 1 + drift*float64(machine%3-1)
}
