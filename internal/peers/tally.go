package peers

import (
	"sync/atomic"
	"time"

	"firplank/fleet"
)

// Tally counts this sidecar's requests for the fleet, by tenant and class, and limits them to the rate that it announces to the
// others. Take may be called by one goroutine only; the other methods are safe for concurrent use. A nil Tally counts and limits
// nothing.
type Tally struct {
	classes, tenants []string
	cells            [][len(fleet.Counters{})]atomic.Uint64
	limiter          fleet.RateLimiter
}

// overflow is the name under which requests without a tenant are counted.
const overflow = "overflow"

// NewTally returns a tally for classes and tenants by number, with a limit in requests a second.
func NewTally(classes, tenants []string, maxRate float64) *Tally {
	return &Tally{
		classes: classes, tenants: tenants, limiter: fleet.NewRateLimiter(maxRate),
		cells: make([][len(fleet.Counters{})]atomic.Uint64, len(classes)*(len(tenants)+1)),
	}
}

// Cells returns the number of pairs of class and tenant.
func (t *Tally) Cells() int { return len(t.cells) }

// cell returns the index of a pair. A request of an unknown tenant counts as one without a tenant.
func (t *Tally) cell(class, tenant int) int {
	if tenant < 0 || tenant >= len(t.tenants) {
		tenant = len(t.tenants)
	}
	return tenant*len(t.classes) + class
}

// cellNames returns the names of a pair by its index, the inverse of cell.
func (t *Tally) cellNames(cell int) (class, tenant string) {
	tenant = overflow
	if tenantIndex := cell / len(t.classes); tenantIndex < len(t.tenants) {
		tenant = t.tenants[tenantIndex]
	}
	return t.classes[cell%len(t.classes)], tenant
}

// Take counts a request and reports whether it is within the limit. A request above the limit has to be rejected and isn't counted.
func (t *Tally) Take(now time.Duration, class, tenant int, retry bool) bool {
	if t == nil {
		return true
	}
	if class < 0 || class >= len(t.classes) {
		return true
	}
	if !t.limiter.Allow(now) {
		return false
	}
	c := &t.cells[t.cell(class, tenant)]
	c[fleet.Received].Add(1)
	if retry {
		c[fleet.Retried].Add(1)
	}
	return true
}

// End counts the outcome of a request that Take accepted. counter is an index of fleet.Counters.
func (t *Tally) End(class, tenant, counter int) {
	if t != nil && class >= 0 && class < len(t.classes) {
		t.cells[t.cell(class, tenant)][counter].Add(1)
	}
}

// readCounters copies the counters of all cells.
func (t *Tally) readCounters(into []fleet.Counters) {
	for i := range into {
		for k := range into[i] {
			into[i][k] = t.cells[i][k].Load()
		}
	}
}
