package dissemination

import (
	"fmt"
	"slices"
	"testing"
)

func zoneMembers(zone string, n int) (members []Member) {
	for i := range n {
		members = append(members, Member{Node: fmt.Sprintf("%s-%d", zone, i), Zone: zone, PeerAddr: fmt.Sprintf("%s:%d", zone, i)})
	}
	return members
}

func TestTreeHasTwoLevelsAndNoCycle(t *testing.T) {
	for _, n := range []int{1, 6, 7, 12, 40, 90} {
		all := slices.Concat(zoneMembers("x", n), zoneMembers("y", 3))
		subscribers := map[string]int{}
		relays := 0
		for _, p := range all {
			parents := ParentCandidates(p.Node, all)
			if len(parents) == 0 {
				relays++
				continue
			}
			subscribers[parents[0].Node]++
			for _, parent := range parents {
				if parent.Zone != p.Zone || len(ParentCandidates(parent.Node, all)) > 0 {
					t.Errorf("%d: the parent of %s is %s, which is not a relay of its zone", n, p.Node, parent.Node)
				}
			}
		}
		for node, c := range subscribers {
			if c > Fanout {
				t.Errorf("%d: %s has %d subscribers", n, node, c)
			}
		}
		if n > maxFlatZoneSize && relays-3 != (n+Fanout)/(Fanout+1) {
			t.Errorf("%d: %d relays", n, relays-3)
		}
	}
}

func TestSidecarsWithTheSameMembersComputeTheSameTree(t *testing.T) {
	all := zoneMembers("x", 30)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	for _, p := range all {
		if a, b := ParentCandidates(p.Node, all), ParentCandidates(p.Node, reversed); !slices.Equal(a, b) {
			t.Errorf("%s: %v and %v", p.Node, a, b)
		}
	}
	if ParentCandidates("nobody", all) != nil {
		t.Error("a sidecar that is not a member has a parent")
	}
}
