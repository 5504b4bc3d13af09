package dissemination

import (
	"cmp"
	"hash/fnv"
	"slices"
)

const (
	// Fanout is how many subscribers a relay is meant to have: a zone of n sidecars has one relay in Fanout + 1.
	Fanout = 5
	// maxFlatZone is the number of sidecars up to which a zone has no relays: all subscribe to control machines, as a tree would cost
	// them time and spare the control plane nothing.
	maxFlatZoneSize = 6
)

// Locality is a sidecar as the tree sees it.
type Member struct {
	Node     string // its name
	Zone     string // its failure domain
	PeerAddr string // host and port that subscribers connect to
}

// ParentCandidates returns the relays that a sidecar may subscribe to, the preferred one first; none: it subscribes to a control machine.
//
// Sidecars that know the same members compute the same tree without any agreement: in each zone the first in the order of a hash of their
// names are relays, and the others are dealt out to them. Relays subscribe to control machines only, so that an update takes one hop more
// at most, and no cycle can form where sidecars know different members.
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
		return nil // a relay itself
	}
	first := (rank - relays) % relays
	return slices.Concat(zone[first:relays], zone[:first])
}

// sidecarsOfZone returns the members of a zone in the order of the hashes of their names.
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
