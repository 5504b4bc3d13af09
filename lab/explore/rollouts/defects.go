package rollouts

// Bounds limits the events of one order.
type Bounds struct {
	Machines int // branch machines; half of them have servers of the new version
	Controls int
	Faults   int
}

// DefaultBounds are the bounds that the tests and the command use.
var DefaultBounds = Bounds{Machines: 4, Controls: 2, Faults: 8}

// Defect is a fault planted in the simulated environment of the decisions. It acts like a bug of the machines.
type Defect struct {
	Name string
	Seed uint64 // seed of an order that finds the defect; 0 if a search from seed 1 finds it

	confirmsWithRequestsInFlight bool // a sidecar confirms while requests that the stage forbids are in flight
	confirmsUnreceived           bool // a sidecar confirms the revision of its control machine instead of the one that it routes by
	ignoresLostSidecars          bool // a lost sidecar does not delay a transition
	decidesAtStart               bool // a control machine that has just started decides with incomplete information
	servesBeforeUpdate           bool // a restarted sidecar serves before it has received the rollouts
	sendsToOldAfterDelivery      bool // a sidecar sends to both versions after the delivery
	doublesShare                 bool // a sidecar sends twice the canary's share to the new version
	anyStage                     bool // the register applies a transition in any stage of the rollout
	confirmationSurvivesRestart  bool // a sidecar's confirmation still counts after its restart
}

// Defects are the planted defects that a search must find.
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
