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

	confirmsBusy     bool // a sidecar confirms while requests are in flight that the stage forbids
	confirmsUnseen   bool // a sidecar confirms what its control machine knows, in place of what it sends by
	lostIsGone       bool // a lost sidecar holds nothing up
	knowsAllAtStart  bool // a control machine that has just started decides on what it knows
	servesUntold     bool // a restarted sidecar serves before it knows the rollouts
	keepsOld         bool // a sidecar sends to both versions once the rollout is delivered
	doublesShare     bool // a sidecar chooses twice the share for the new version
	anyStage         bool // the register makes a transition whatever the rollout's stage is
	evidenceOutlives bool // what a sidecar has confirmed counts for its next process
}

// Defects are those that a search must find.
var Defects = []Defect{
	{Name: "a sidecar confirms with requests in flight", Seed: 48, confirmsBusy: true},
	{Name: "a sidecar confirms what it has not received yet", Seed: 22, confirmsUnseen: true},
	{Name: "a lost sidecar holds nothing up", Seed: 33, lostIsGone: true},
	{Name: "a control machine that has just started decides at once", Seed: 16554, knowsAllAtStart: true},
	{Name: "a restarted sidecar serves before it knows the rollouts", Seed: 980, servesUntold: true, evidenceOutlives: true},
	{Name: "both versions get requests after the delivery", Seed: 343, keepsOld: true},
	{Name: "twice the share goes to the new version", doublesShare: true},
	{Name: "a transition is made from any stage", Seed: 2814, anyStage: true},
}
