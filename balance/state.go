package balance

import "math"

// listTimer is the token of the timer for the server list; requests use their ID, which is below 1<<52.
const listTimer = 1 << 60

// Balancer is the policy of one sidecar. Decisions depend on its state and the event only. It is not safe for
// concurrent use: one goroutine calls Start once and then Handle with each event. Its memory is bounded by the number
// of listed servers and open requests.
type Balancer struct {
	cfg              Config
	random           randomSource
	now              float64 // time of the present event
	maxLatencyTarget float64 // of all classes
	shutdownAt       float64 // by when every request has to be answered; +Inf: no shutdown
	actions          []Action

	requests            map[RequestID]*request
	inFlight            int     // attempts
	connectFailureShare float64 // recent share of attempts with a connect failure
	listFailures        int     // consecutive failures of list requests

	serverTable
	rotation rotation
	sizes    sizeLearner
	traffic  traffic
	shedder  shedder
	probing  probing
}

// New returns a balancer with the given settings; call Start before Handle.
func New(cfg Config) *Balancer {
	b := &Balancer{
		cfg:              cfg,
		random:           randomSource(cfg.Seed),
		maxLatencyTarget: 1,
		shutdownAt:       math.Inf(1),
		serverTable:      serverTable{byID: map[ServerID]*server{}},
		requests:         map[RequestID]*request{},
		rotation:         rotation{lastPickedWeight: 1},
		sizes:            sizeLearner{kinds: map[int]*size{}, zones: map[int]*size{}},
		traffic:          newTraffic(&cfg),
		shedder:          shedder{usesLoadReports: cfg.Reports == ReportProbe},
		probing:          probing{busyShare: 1},
	}
	for i := range cfg.Classes {
		b.addClassStats(&cfg.Classes[i])
	}
	b.probing.latencyPerPending = initialLatencyRatio * b.maxLatencyTarget
	if cfg.Goal == (Goal{}) {
		b.cfg.Goal.Total = 1
	}
	return b
}

// addClassStats adds the statistics of a new class.
func (b *Balancer) addClassStats(c *Class) {
	b.traffic.addClass(c.Value)
	b.maxLatencyTarget = max(b.maxLatencyTarget, c.LatencyTarget)
	b.traffic.rate.span = b.maxLatencyTarget
}

// AddClass adds a class of requests. Its index is the previous number of classes.
func (b *Balancer) AddClass(c Class) {
	b.cfg.Classes = append(b.cfg.Classes, c)
	b.addClassStats(&c)
	for _, s := range b.servers {
		s.byClass = append(s.byClass, classHealth{recordedAt: math.Inf(-1)})
	}
	for _, r := range b.requests { // append may have moved the slices that they point into
		r.class, r.stats = &b.cfg.Classes[r.Class], &b.traffic.classes[r.Class]
	}
}

// Start begins operation at a time in ms. The actions are valid until the next call.
func (b *Balancer) Start(now float64) []Action {
	b.now, b.traffic.rate.startedAt, b.actions = now, now, b.actions[:0]
	if b.cfg.Subscribe {
		b.requestList()
	}
	return b.actions
}

// emit adds an action to the result of the present call.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// clamp limits v to the range from low to high.
func clamp(v, low, high float64) float64 { return max(low, min(high, v)) }

// randomSource is SplitMix64 (Steele, Lea and Flood, Fast Splittable Pseudorandom Number Generators, 2014).
type randomSource uint64

// draw returns the next number in [0, 1).
func (s *randomSource) draw() float64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
