package register

// Bounds bound what may happen in one order.
type Bounds struct {
	Machines      int // control machines
	Members       int // of them, those that the register begins with
	Puts          int
	Reads         int
	Faults        int // messages lost or repeated, kills, losses of power
	Wipes         int // disks that come back empty; each is a fault, too
	MemberChanges int
	InFlight      int // messages under way at most; beyond it the oldest is lost
}

// DefaultBounds are those of the tests.
var DefaultBounds = Bounds{Machines: 4, Members: 3, Puts: 4, Reads: 4, Faults: 10, Wipes: 2, MemberChanges: 1, InFlight: 24}

// HardBounds let more go wrong.
var HardBounds = Bounds{Machines: 4, Members: 3, Puts: 5, Reads: 5, Faults: 16, Wipes: 3, MemberChanges: 1, InFlight: 30}

// Bounds in which few things go wrong, so that they often do so together.
var (
	killBounds       = Bounds{Machines: 3, Members: 3, Puts: 3, Reads: 2, Faults: 6, InFlight: 16}
	contentionBounds = Bounds{Machines: 3, Members: 3, Puts: 3, Faults: 2, InFlight: 12}
	lossyBounds      = Bounds{Machines: 3, Members: 3, Puts: 2, Reads: 2, Faults: 4, Wipes: 2, InFlight: 3}
	emptiedBounds    = Bounds{Machines: 3, Members: 3, Puts: 2, Reads: 2, Faults: 8, Wipes: 4, InFlight: 4}
	wipedBounds      = Bounds{Machines: 3, Members: 3, Puts: 2, Reads: 1, Faults: 3, Wipes: 2, InFlight: 30}
)

// Steps is the number of steps of the orders by which defects are known to be found.
const Steps = 200

// Defect is a mistake planted in the surroundings, as if the register or its disk made it.
type Defect struct {
	Name   string
	Bounds Bounds // in which it is found
	Seed   uint64 // of an order of Steps steps that finds it; 0: none is known

	sendsBeforeSync        bool // messages and answers leave before the state is on disk
	losesPromise           bool // on a kill
	losesAccepted          bool // on a kill
	votesWhenEmptied       bool // a disk that came back empty votes at once
	rejoinsFromOne         bool // ... once one other machine has replied
	ignoresIncarnations    bool // replies of earlier incarnations still count
	differentMembers       bool // machines begin with different members
	nackAsAccepted         bool // a Nack is read as Accepted
	raisesBallot           bool // a repeated Accept has a higher ballot
	confirmsAfterFirstDisk bool // a Put is answered when the first disk has it
	emptyPromise           bool // a Promise hides what was accepted
}

// Defects are those that a search must find.
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
