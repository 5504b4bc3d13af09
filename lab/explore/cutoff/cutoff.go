// Package cutoff simulates days in virtual time on which one control machine is partitioned from the others for twenty
// seconds. It runs the shipped parts of the control machines (mesh/controlplane's persistence, operations, publishing,
// peers and reconcile over register.Replica and lease.Lease) and of the sidecars (mesh/dataplane/distribution). During
// the partition sidecars are restarted, the rate of writes rises, links have little bandwidth, and operators write and
// read at the machine that is cut off. A day yields a History, which Check checks against the rules without any
// knowledge of how decisions are made.
//
// Start reading at Play.
package cutoff

import (
	"fmt"
	"time"
)

// Direction is the direction in which messages between the machine that is cut off and the other control machines are blocked.
type Direction uint8

// The directions.
const (
	Both Direction = iota
	Inward
	Outward
)

// Scenario describes one simulated day.
type Scenario struct {
	Direction     Direction
	Standby       bool // the machine that is cut off is not a member of the register
	HoldsLease    bool // it holds the lease for replacing members
	CutZone       bool // the sidecars of its zone are cut off with it
	RestartOthers bool // the other control machines are restarted one after the other during the cut
	Seed          uint64
}

// String describes the scenario.
func (s Scenario) String() string {
	return fmt.Sprintf("cut %s, standby %v, leader %v, zone %v, restarts of the others %v, seed %d",
		[...]string{"both ways", "inward", "outward"}[s.Direction], s.Standby, s.HoldsLease, s.CutZone, s.RestartOthers, s.Seed)
}

// Defect is a mistake that the simulation makes as if the shipped code made it. The zero value has none.
type Defect struct {
	Name                string
	readyAtAnyAge       bool // a sidecar is ready with a configuration of any age
	reportsFresh        bool // a control machine reports its configuration as fresh although no quorum answers
	acksWithoutMajority bool // a write is acknowledged without a majority
	readsLocalState     bool // a read is answered from local state
	rejectsPermanently  bool // a machine without contact to a majority rejects calls permanently
	queuesFullTexts     bool // each version is sent in full, queued behind those in flight
	sendsOnlyLastDelta  bool // only the last delta is sent, and counts as applied whatever its base
	skipsSidecarAcks    bool // an acknowledgement does not wait for the sidecars
	keepsStaleParent    bool // a sidecar stays with its parent however old the parent's updates are
	resetsOnReparent    bool // a sidecar drops its configuration when it changes parents
	skipsQuorumCheck    bool // a machine accepts calls and keeps them pending without contact to a majority
	neverReady          bool // a sidecar waits for a fresh update without limit
}

// Defects are the planted defects that a search must find.
var Defects = []Defect{
	{Name: "a sidecar is ready with a configuration of any age", readyAtAnyAge: true},
	{Name: "a control machine calls its configuration fresh without a majority", reportsFresh: true},
	{Name: "an order is confirmed without a majority", acksWithoutMajority: true},
	{Name: "a read is answered from local state", readsLocalState: true},
	{Name: "a machine without contact refuses for good", rejectsPermanently: true},
	{Name: "overtaken versions are queued in full", queuesFullTexts: true},
	{Name: "a difference is applied to the wrong base", sendsOnlyLastDelta: true},
	{Name: "a confirmation does not wait for the sidecars", skipsSidecarAcks: true},
	{Name: "a sidecar stays with a parent that has lost the majority", keepsStaleParent: true},
	{Name: "a sidecar forgets its version when it changes parents", resetsOnReparent: true},
	{Name: "a machine takes and holds calls without contact with a majority", skipsQuorumCheck: true},
	{Name: "a sidecar that reaches no majority is never ready", neverReady: true},
}

// Times of a day.
const (
	operatorStart = 4 * time.Second // first writes and reads
	cutStart      = 10 * time.Second
	cutDuration   = 20 * time.Second
	dayEnd        = 37 * time.Second
	stormStart    = 26 * time.Second // the storm lasts beyond the end of the cut
	stormDuration = 6 * time.Second
)

// Scenarios returns the days of a search: every combination of a Scenario's fields, each with the given number of seeds.
func Scenarios(seeds uint64) (all []Scenario) {
	for seed := uint64(1); seed <= seeds; seed++ {
		for bits := range 16 {
			for _, d := range []Direction{Both, Inward, Outward} {
				all = append(all, Scenario{
					Direction: d, Standby: bits&1 > 0, HoldsLease: bits&2 > 0, CutZone: bits&4 > 0, RestartOthers: bits&8 > 0, Seed: seed,
				})
			}
		}
	}
	return all
}

// QuickScenarios returns a few days that cover each direction and each variant.
func QuickScenarios() []Scenario {
	return []Scenario{
		{Direction: Both, Seed: 1},
		{Direction: Both, CutZone: true, HoldsLease: true, Seed: 2},
		{Direction: Inward, RestartOthers: true, HoldsLease: true, Seed: 3},
		{Direction: Outward, Standby: true, CutZone: true, RestartOthers: true, Seed: 4},
		{Direction: Inward, Standby: true, CutZone: true, Seed: 5},
		{Direction: Outward, CutZone: true, Seed: 6},
	}
}

// playUntilBreach simulates a day until the first breach.
func playUntilBreach(s Scenario, d *Defect) error {
	w := newWorld(s, d)
	c := newChecker(w.history)
	for at := time.Second; at <= dayEnd; at += time.Second {
		w.run(at)
		if err := c.consume(w.history); err != nil {
			return err
		}
	}
	return c.finish()
}

// Search simulates days until one breaks a rule. A nil breach means that none does.
func Search(days []Scenario, d *Defect) (played int, day Scenario, breach error) {
	for _, s := range days {
		played++
		if err := playUntilBreach(s, d); err != nil {
			return played, s, err
		}
	}
	return played, Scenario{}, nil
}
