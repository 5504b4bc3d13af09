package tombstones

// Bounds limits the events of one order.
type Bounds struct {
	Servers  int // that shut down
	Fetches  int // that wait at the same time
	Faults   int
	InFlight int // maximum number of messages in flight; further ones are lost
}

// DefaultBounds are the bounds that the tests use.
var DefaultBounds = Bounds{Servers: 5, Fetches: 2, Faults: 6, InFlight: 40}

// Defect is a fault planted in the simulated environment. It acts like a bug of the machines.
type Defect struct {
	Name string

	storedBeforeSync bool // a tombstone counts as stored before it is on disk
	emptyDiskCounts  bool // a machine whose disk was lost counts as complete
	incompleteCounts bool // replies of incomplete machines count
	sameIDs          bool // requests of every process have the same numbers
}

// Defects are the planted defects that a search must find.
var Defects = []Defect{
	{Name: "a tombstone counts as stored before it is on disk", storedBeforeSync: true},
	{Name: "a machine whose disk was lost counts as complete", emptyDiskCounts: true},
	{Name: "replies of incomplete machines count", incompleteCounts: true},
	{Name: "replies to an earlier process count", sameIDs: true},
}
