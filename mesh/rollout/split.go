package rollout

import (
	"math"
	"sync/atomic"
)

// shareUnits is how many units make up all requests, in which a Split counts.
const shareUnits = 1 << 20

// canaryPart is the part of the share that the rules allow a bad version which the canary gets. The rest is for the time in which the new
// version gets all requests and is not judged yet.
const canaryPart = 0.5

// CanaryShare returns the share of a service's requests that each sender gives a new version, where the rules allow a bad one the given
// share.
func CanaryShare(exposureShare float64) float64 { return canaryPart * exposureShare }

// Split chooses the requests for a new version at one sender. Of the requests up to any one, it never chooses more than the share: so the
// sum over all senders never has more, whatever each of them has received. The zero value chooses none. It is safe for concurrent use.
type Split struct {
	units    atomic.Int64 // the share, of shareUnits
	requests atomic.Int64
}

// SetShare sets the share of the requests that are chosen from now on. Another share begins to count anew.
func (s *Split) SetShare(share float64) {
	units := int64(math.Floor(share * shareUnits))
	if s.units.Swap(units) != units {
		s.requests.Store(0)
	}
}

// Next reports whether the next request is chosen.
func (s *Split) Next() bool {
	units := s.units.Load()
	if units == 0 {
		return false
	}
	n := s.requests.Add(1)
	return n*units/shareUnits > (n-1)*units/shareUnits
}
