package rollouts

// Bounds bound what may happen in one order.
type Bounds struct {
	Machines int // branch machines, the half of them with servers of the new version
	Controls int
	Faults   int
}

// DefaultBounds are those of the tests.
var DefaultBounds = Bounds{Machines: 4, Controls: 2, Faults: 8}

// Defect is a mistake planted in the surroundings of the decisions, as if the machines made it.
type Defect struct {
	Name string
	Seed uint64 // of an order that finds it; 0: the first search does

	confirmsWithRequestsInFlight bool // a sidecar confirms while requests are in flight that the stage forbids
	confirmsUnreceived           bool // a sidecar confirms what its control machine knows, in place of what it sends by
	ignoresLostSidecars          bool // a lost sidecar holds nothing up
	decidesAtStart               bool // a control machine that has just started decides on what it knows
	servesBeforeUpdate           bool // a restarted sidecar serves before it knows the rollouts
	sendsToOldAfterDelivery      bool // a sidecar sends to both versions once the rollout is delivered
	doublesShare                 bool // a sidecar chooses twice the share for the new version
	anyStage                     bool // the register makes a transition whatever the rollout's stage is
	confirmationSurvivesRestart  bool // what a sidecar has confirmed counts for its next process
}

// Defects are those that a search must find.
var Defects = []Defect{
	{Name: "a sidecar confirms with requests in flight", Seed: 48, confirmsWithRequestsInFlight: true},
	{Name: "a sidecar confirms what it has not received yet", Seed: 22, confirmsUnreceived: true},
	{Name: "a lost sidecar holds nothing up", Seed: 33, ignoresLostSidecars: true},
	{Name: "a control machine that has just started decides at once", Seed: 16554, decidesAtStart: true},
	{Name: "a restarted sidecar serves before it knows the rollouts", Seed: 980, servesBeforeUpdate: true, confirmationSurvivesRestart: true},
	{Name: "both versions get requests after the delivery", Seed: 343, sendsToOldAfterDelivery: true},
	{Name: "twice the share goes to the new version", doublesShare: true},
	{Name: "a transition is made from any stage", Seed: 2814, anyStage: true},
}
