package register

// Bounds limits the events of one order.
type Bounds struct {
	Machines      int // control machines
	Members       int // the control machines that are the register's initial members
	Puts          int
	Reads         int
	Faults        int // lost and duplicated messages, kills and power losses
	Wipes         int // disks that come back empty; each also counts as a fault
	MemberChanges int
	InFlight      int // maximum number of messages in flight; the oldest is dropped beyond it
}

// DefaultBounds are the bounds that the tests use.
var DefaultBounds = Bounds{Machines: 4, Members: 3, Puts: 4, Reads: 4, Faults: 10, Wipes: 2, MemberChanges: 1, InFlight: 24}

// HardBounds allow more operations and faults.
var HardBounds = Bounds{Machines: 4, Members: 3, Puts: 5, Reads: 5, Faults: 16, Wipes: 3, MemberChanges: 1, InFlight: 30}

// Bounds with few kinds of faults, which therefore often occur in combination.
var (
	killBounds       = Bounds{Machines: 3, Members: 3, Puts: 3, Reads: 2, Faults: 6, InFlight: 16}
	contentionBounds = Bounds{Machines: 3, Members: 3, Puts: 3, Faults: 2, InFlight: 12}
	lossyBounds      = Bounds{Machines: 3, Members: 3, Puts: 2, Reads: 2, Faults: 4, Wipes: 2, InFlight: 3}
	emptiedBounds    = Bounds{Machines: 3, Members: 3, Puts: 2, Reads: 2, Faults: 8, Wipes: 4, InFlight: 4}
	wipedBounds      = Bounds{Machines: 3, Members: 3, Puts: 2, Reads: 1, Faults: 3, Wipes: 2, InFlight: 30}
)

// Steps is the length of the orders that are known to find the defects.
const Steps = 200

// Defect is a fault planted in the simulated environment. It acts like a bug of the register or a fault of its disk.
type Defect struct {
	Name   string
	Bounds Bounds // with which the defect is found
	Seed   uint64 // seed of an order of Steps steps that finds the defect; 0 if none is known

	sendsBeforeSync        bool // messages and responses are sent before the state is on disk
	losesPromise           bool // a kill loses the promised ballot
	losesAccepted          bool // a kill loses the accepted value
	votesWhenEmptied       bool // a machine whose disk came back empty votes at once
	rejoinsFromOne         bool // ... votes after the reply of a single machine
	ignoresIncarnations    bool // replies to earlier incarnations still count
	differentMembers       bool // machines start with different members
	nackAsAccepted         bool // a Nack is handled as Accepted
	raisesBallot           bool // a duplicated Accept carries a higher ballot
	confirmsAfterFirstDisk bool // a Put is confirmed once the first disk has the value
	emptyPromise           bool // a Promise omits the accepted value
}

// Defects are the planted defects that a search must find.
var Defects = []Defect{
	{Name: "answers leave before the disk has synced", sendsBeforeSync: true, Bounds: killBounds, Seed: 19028},
	{Name: "a promise is not on disk after a kill", losesPromise: true, Bounds: contentionBounds, Seed: 355},
	{Name: "what was accepted is not on disk after a kill", losesAccepted: true, Bounds: killBounds, Seed: 1318},
	{Name: "an emptied disk is a voter at once", votesWhenEmptied: true, Bounds: lossyBounds, Seed: 159612},
	{Name: "an emptied disk is a voter after the reply of one other", rejoinsFromOne: true, Bounds: emptiedBounds, Seed: 8321},
	{Name: "replies of an earlier incarnation still count", ignoresIncarnations: true, Bounds: wipedBounds},
	{Name: "machines begin with different members", differentMembers: true, Bounds: killBounds, Seed: 38},
	{Name: "a nack is read as accepted", nackAsAccepted: true, Bounds: killBounds, Seed: 283},
	{Name: "an old message comes again under a higher ballot", raisesBallot: true, Bounds: killBounds, Seed: 12642},
	{Name: "a configuration is confirmed by the first disk", confirmsAfterFirstDisk: true, Bounds: HardBounds, Seed: 5},
	{Name: "a promise hides what was accepted", emptyPromise: true, Bounds: killBounds, Seed: 66},
}
