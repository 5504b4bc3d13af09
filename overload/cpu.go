package overload

import "time"

// The figures of the processor's account. Use is a share of what the sidecar may use.
const (
	// Period is how often Sample wants to be called, and window the samples over which use counts: a sidecar on a quota
	// runs in bursts.
	SamplePeriod = 20 * time.Millisecond
	sampleWindow = 5
	// full is the use from which the processor counts as used up, and lateness the delay that has to come with it: a busy
	// processor that is never late carries what it gets. While both hold, the account trusts itself less and less, down to
	// leastTrust, and then slowly more again.
	saturatedUse      = 0.95
	saturatedDelay    = 20 * time.Millisecond
	capacityDecrease  = 0.95
	capacityIncrease  = 1.01
	minCapacityFactor = 0.3

	// backlog is how long what has been let in may wait for the processor; the class of the least worth may fill lowest of it.
	maxBacklog      = 100 * time.Millisecond
	minBacklogShare = 0.4
	// idle is the use below which nothing can be waiting for the processor, whatever the account says.
	idleUse = 0.85
	// firstCost is what a request is taken to cost until that is known, and firstTurned what one does that is turned away. cheapest
	// and dearest bound what is learned, in steps of learning, from windows with telling requests or more.
	initialCost, initialRejectCost = 150e-6, 20e-6 // seconds of a core
	minCost, maxCost               = 5e-6, 3e-3
	learningRate                   = 0.2
	minRequests                    = 20
)

// Processor keeps account of the work that was let in and that the sidecar's part of the processor cannot have done yet, and
// lets none in that would wait for longer than a little: the request of the least worth stops first. What a request costs
// it learns from the processor time used. It is not safe for concurrent use.
type CPULimit struct {
	cores          float64
	backlogShare   []float64                   // by class: the part of the backlog that it may fill
	sampledAt      [sampleWindow]time.Duration // of the last samples, in a ring
	usedTime       [sampleWindow]time.Duration
	admitted       [sampleWindow]float64 // requests let in, and turned away, between two samples
	rejected       [sampleWindow]float64
	nextSample     int
	samples        int
	capacityFactor float64

	cost, rejectCost         float64       // of a request that is let in, and of one that is not, in seconds of a core
	newAdmitted, newRejected float64       // since the last sample
	backlog                  float64       // work that was let in and is not done, in seconds of a core, as far as it can be reckoned
	backlogAt                time.Duration // when
}

// NewProcessor returns the account of a sidecar that may use so many cores; 0 means that nobody knows, and all is let in.
func NewCPULimit(cores float64, classes []Class) *CPULimit {
	p := &CPULimit{cores: cores, cost: initialCost, rejectCost: initialRejectCost, capacityFactor: 1, backlogShare: make([]float64, max(1, len(classes)))}
	minValue, maxValue := 0.0, 0.0
	for i, c := range classes {
		if i == 0 || c.Value < minValue {
			minValue = c.Value
		}
		maxValue = max(maxValue, c.Value)
	}
	for i := range p.backlogShare {
		p.backlogShare[i] = 1
		if i < len(classes) && maxValue > minValue {
			p.backlogShare[i] = minBacklogShare + (1-minBacklogShare)*(classes[i].Value-minValue)/(maxValue-minValue)
		}
	}
	return p
}

// Sample takes in the clock, the processor time used so far, and the longest delay of an event since the last sample.
func (p *CPULimit) Sample(now, usedTime, delay time.Duration) {
	oldestAt, oldestUsed := p.sampledAt[p.nextSample], p.usedTime[p.nextSample]
	latestAt := p.sampledAt[(p.nextSample+sampleWindow-1)%sampleWindow]
	if p.cores <= 0 || now <= latestAt {
		return
	}
	admitted, rejected := p.newAdmitted, p.newRejected
	for i := range sampleWindow {
		if i != p.nextSample { // as old as the window
			admitted, rejected = admitted+p.admitted[i], rejected+p.rejected[i]
		}
	}
	p.sampledAt[p.nextSample], p.usedTime[p.nextSample], p.admitted[p.nextSample], p.rejected[p.nextSample] = now, usedTime, p.newAdmitted, p.newRejected
	p.newAdmitted, p.newRejected = 0, 0
	p.nextSample = (p.nextSample + 1) % sampleWindow
	if p.samples++; p.samples <= 2*sampleWindow { // the start is busy, and says nothing
		return
	}
	used := (usedTime - oldestUsed).Seconds()
	use := used / (now - oldestAt).Seconds() / p.cores
	if admitted+rejected >= minRequests { // least mean squares, normalized
		correction := learningRate * (used - admitted*p.cost - rejected*p.rejectCost) / (admitted*admitted + rejected*rejected)
		p.cost = clamp(p.cost+correction*admitted, minCost, maxCost)
		p.rejectCost = clamp(p.rejectCost+correction*rejected, minCost, p.cost)
	}
	if use < idleUse {
		p.backlog = 0
	}
	if use >= saturatedUse && delay >= saturatedDelay {
		p.capacityFactor = max(minCapacityFactor, p.capacityFactor*capacityDecrease)
	} else {
		p.capacityFactor = min(1, p.capacityFactor*capacityIncrease)
	}
}

// Offer reports whether a request of a class that comes at now may come in.
func (p *CPULimit) Offer(now time.Duration, class int) bool {
	if p.cores <= 0 {
		return true
	}
	p.backlog = max(0, p.backlog-max(0, now-p.backlogAt).Seconds()*p.cores*p.capacityFactor)
	p.backlogAt = now
	share := p.backlogShare[0]
	for _, r := range p.backlogShare[1:] {
		share = min(share, r)
	}
	if class >= 0 && class < len(p.backlogShare) {
		share = p.backlogShare[class]
	}
	admit := p.backlog <= maxBacklog.Seconds()*p.cores*share
	if admit {
		p.backlog += p.cost
		p.newAdmitted++
	} else {
		p.backlog += p.rejectCost
		p.newRejected++
	}
	p.backlog = min(p.backlog, 1.2*maxBacklog.Seconds()*p.cores)
	return admit
}

// Back takes back what Offer has let in and what was turned away for another reason.
func (p *CPULimit) Withdraw() {
	p.backlog = max(0, p.backlog-p.cost+p.rejectCost)
	p.newAdmitted--
	p.newRejected++
}

// Cost is what a request is taken to cost.
func (p *CPULimit) Cost() time.Duration { return time.Duration(p.cost * float64(time.Second)) }
