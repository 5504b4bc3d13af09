package dissemination

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// Fanout is the intended number of subscribers of a relay: of Fanout + 1 sidecars in a zone, one is a relay.
	Fanout = 5
	// maxFlatZoneSize is the number of sidecars up to which a zone has no relays. They all subscribe to control machines, as in a zone
	// this small a relay adds delay without taking load off the control plane.
	maxFlatZoneSize = 6
)

// Member is a sidecar in the tree.
type Member struct {
	Node     string // name of the machine
	Zone     string // failure domain
	PeerAddr string // host and port that subscribers connect to
}

// ParentCandidates returns the relays that a sidecar may subscribe to, the preferred one first. If there are none, the sidecar subscribes
// to a control machine.
//
// Sidecars that know the same members compute the same tree without coordination: in each zone the sidecars are ordered by a hash of their
// names, the first are relays, and the others are assigned to them in turn. Relays subscribe only to control machines, so an update takes
// at most one additional hop, and no cycle can form between sidecars that know different members.
func ParentCandidates(self string, members []Member) []Member {
	selfIndex := slices.IndexFunc(members, func(l Member) bool { return l.Node == self })
	if selfIndex < 0 {
		return nil
	}
	zone := membersOfZone(members[selfIndex].Zone, members)
	if len(zone) <= maxFlatZoneSize {
		return nil
	}
	relays := (len(zone) + Fanout) / (Fanout + 1)
	rank := slices.IndexFunc(zone, func(l Member) bool { return l.Node == self })
	if rank < relays {
		return nil // self is a relay
	}
	first := (rank - relays) % relays
	return slices.Concat(zone[first:relays], zone[:first])
}

// membersOfZone returns the members of a zone, ordered by the hashes of their names.
func membersOfZone(name string, members []Member) []Member {
	var zone []Member
	for _, m := range members {
		if m.Zone == name {
			zone = append(zone, m)
		}
	}
	slices.SortFunc(zone, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hashOf(a.Node), hashOf(b.Node)), cmp.Compare(a.Node, b.Node))
	})
	return zone
}

func hashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // hash.Hash never returns an error
	return h.Sum64()
}
