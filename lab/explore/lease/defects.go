package lease

// Bounds bound what may happen in one order.
type Bounds struct {
	Machines int
	Faults   int
	InFlight int // messages under way at most; beyond it the oldest is lost
}

// DefaultBounds are those of the tests.
var DefaultBounds = Bounds{Machines: 3, Faults: 8, InFlight: 24}

// Defect is a mistake planted in the surroundings, as if the machines made it.
type Defect struct {
	Name string
	Seed uint64 // of an order that finds it; 0: the first search does

	noStartupDelay       bool // a machine votes as soon as it has started
	slowHolder           bool // a clock runs at half speed
	denialAsVote         bool // a denied vote is read as granted
	soleMember           bool // one machine has itself as the only member
	countsForLastRequest bool // a vote counts for the last request, whichever it was given to
	fastVoters           bool // the voters' clocks run twice as fast
}

// Defects are those that a search must find.
var Defects = []Defect{
	{Name: "a machine votes as soon as it has started", Seed: 70, noStartupDelay: true},
	{Name: "a holder's clock runs at half speed", Seed: 299, slowHolder: true},
	{Name: "a denied vote is read as granted", denialAsVote: true},
	{Name: "a machine has itself as the only member", soleMember: true},
	{Name: "a vote counts for whatever was requested last", Seed: 13849, countsForLastRequest: true},
	{Name: "the voters' clocks run twice as fast", Seed: 294, fastVoters: true},
}

// clockRate returns how fast a machine's clock runs: clocks differ by 500 parts in a million each way.
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
