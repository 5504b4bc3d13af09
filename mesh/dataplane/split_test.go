package dataplane

import (
	"fmt"
	"math"
	"testing"
)

// Guards against splits that are not kept for clients whose request IDs count up: every hundred consecutive IDs would go to one service.
func TestCountedRequestsAreSplitEvenly(t *testing.T) {
	const (
		requests  = 200
		weight    = 0.6
		tolerance = 0.2 // of the users' rule on shares
	)
	for _, format := range []string{"r%d", "%d", "%016x", "client-7-%06d"} {
		for first := 0; first < 20_000; first += 977 {
			below := 0
			for i := range requests {
				if hashUnit(fmt.Sprintf(format, first+i)) < weight {
					below++
				}
			}
			if share := float64(below) / requests; math.Abs(share-weight) > tolerance {
				t.Errorf("of %d requests from "+format+" on %.2f go to a service with the weight %.2f", requests, first, share, weight)
			}
		}
	}
}
