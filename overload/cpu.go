package overload

import "time"

// The constants of CPULimit. CPU use is relative to the sidecar's quota.
const (
	// SamplePeriod is the period in which Sample must be called. The use is computed over sampleWindow samples, as a process with a
	// CPU quota runs in bursts.
	SamplePeriod = 20 * time.Millisecond
	sampleWindow = 5
	// From saturatedUse on the CPU counts as saturated if there also is a delay of saturatedDelay: without delays it can handle its
	// load. While both hold, the capacity factor decreases down to minCapacityFactor; after that it slowly increases again.
	saturatedUse      = 0.95
	saturatedDelay    = 20 * time.Millisecond
	capacityDecrease  = 0.95
	capacityIncrease  = 1.01
	minCapacityFactor = 0.3

	// maxBacklog is how long admitted work may wait for the CPU. The class of the least value may fill minBacklogShare of it.
	maxBacklog      = 100 * time.Millisecond
	minBacklogShare = 0.4
	// idleUse is the use below which no work can be waiting for the CPU, so that the estimated backlog is reset.
	idleUse = 0.85
	// initialCost and initialRejectCost are the costs of an admitted and a rejected request until they are learned. minCost and
	// maxCost bound the learned costs. Only windows with at least minRequests are used for learning, with the step size learningRate.
	initialCost, initialRejectCost = 150e-6, 20e-6 // core seconds
	minCost, maxCost               = 5e-6, 3e-3
	learningRate                   = 0.2
	minRequests                    = 20
)

// CPULimit estimates the backlog of admitted work that the sidecar's CPU quota has not processed yet. It rejects requests that would
// have to wait too long, those of the least value first. The cost of a request is learned from the CPU time used. A CPULimit is not
// safe for concurrent use.
type CPULimit struct {
	cores          float64
	backlogShare   []float64                   // by class: the share of maxBacklog that it may fill
	sampledAt      [sampleWindow]time.Duration // of the last samples, as ring buffers
	usedTime       [sampleWindow]time.Duration
	admitted       [sampleWindow]float64 // requests between two samples
	rejected       [sampleWindow]float64
	nextSample     int
	samples        int
	capacityFactor float64 // factor on the cores at which the backlog is assumed to be processed

	cost, rejectCost         float64       // core seconds of an admitted and of a rejected request
	newAdmitted, newRejected float64       // requests since the last sample
	backlog                  float64       // estimated core seconds of work that is not done yet
	backlogAt                time.Duration // when backlog was updated
}

// NewCPULimit returns the limit for a sidecar with a quota of cores; 0 means an unknown quota, and all requests are admitted. Requests
// of an unknown class count as those of the least value.
func NewCPULimit(cores float64, classes []Class) *CPULimit {
	p := &CPULimit{cores: cores, cost: initialCost, rejectCost: initialRejectCost, capacityFactor: 1,
		backlogShare: make([]float64, max(1, len(classes)))}
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

// Sample updates the costs and the capacity factor. usedTime is the CPU time used since the process started, and delay the longest wait
// of an event for the CPU since the last sample.
func (p *CPULimit) Sample(now, usedTime, delay time.Duration) {
	oldestAt, oldestUsed := p.sampledAt[p.nextSample], p.usedTime[p.nextSample]
	latestAt := p.sampledAt[(p.nextSample+sampleWindow-1)%sampleWindow]
	if p.cores <= 0 || now <= latestAt {
		return
	}
	admitted, rejected := p.newAdmitted, p.newRejected
	for i := range sampleWindow {
		if i != p.nextSample { // that sample leaves the window
			admitted, rejected = admitted+p.admitted[i], rejected+p.rejected[i]
		}
	}
	p.sampledAt[p.nextSample], p.usedTime[p.nextSample], p.admitted[p.nextSample], p.rejected[p.nextSample] = now,
		usedTime, p.newAdmitted, p.newRejected
	p.newAdmitted, p.newRejected = 0, 0
	p.nextSample = (p.nextSample + 1) % sampleWindow
	if p.samples++; p.samples <= 2*sampleWindow { // the CPU time of the start is not that of requests
		return
	}
	used := (usedTime - oldestUsed).Seconds()
	use := used / (now - oldestAt).Seconds() / p.cores
	if admitted+rejected >= minRequests { // normalized least mean squares
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

// Offer reports whether a request of a class is admitted at now.
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

// Withdraw must be called for a request that Offer admitted and that was then rejected for another reason. It changes the estimate
// accordingly.
func (p *CPULimit) Withdraw() {
	p.backlog = max(0, p.backlog-p.cost+p.rejectCost)
	p.newAdmitted--
	p.newRejected++
}

// Cost returns the estimated CPU time of an admitted request.
func (p *CPULimit) Cost() time.Duration { return time.Duration(p.cost * float64(time.Second)) }
