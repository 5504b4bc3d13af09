package model

import (
	"math"
	"time"
)

// Spec is what a server can do. Figures of 0 mean without limit, but for Cores and Speed.
type Spec struct {
	Cores    float64 // requests worked on at full speed at once
	Speed    float64 // of a core; 1 does a second of work in a second
	Slots    int     // requests in work at once, those that wait on others too
	Queue    int     // requests that wait for a slot; beyond that they are turned away
	Thrash   float64 // share of capacity lost for each further ThrashAt requests held per core
	ThrashAt float64 // requests held per core from which the server becomes less efficient

	ColdFrom     float64       // share of its capacity at the start
	ColdFor      time.Duration // until the whole of it is there, evenly
	FallMultiple float64       // offered more than this multiple of what it can do ...
	FallFor      time.Duration // ... in a window this long, a cold server falls over

	DropsExpired bool          // waiting work whose time is over is not begun
	ReportEvery  time.Duration // how often the load report is refreshed
	ReportDelay  time.Duration // how old it is when it is first seen
}

// Job is one request at a server.
type Job struct {
	ID      uint64
	Work    time.Duration // core time at speed 1
	Wait    time.Duration // on others after that; holds a slot and no core
	Expires time.Duration // when nobody waits for it any more; 0: never
}

// Verdict is what becomes of an offered job.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota // in work, or waiting for a slot
	Rejected                // no room: it never runs
	FellOver                // the server fell over with this job; it runs nothing any more
)

// Done is the end of an accepted job.
type Done struct {
	ID      uint64
	Began   time.Duration // when work on it began
	Expired bool          // it expired while it waited, and never ran
}

// Load is a load report.
type Load struct {
	InFlight, Queue int
	Util            float64 // share of the cores in use
	Rate            float64 // requests finished a second
}

// step bounds the time over which capacity is taken as constant while a server warms up.
const warmUpStep = 20 * time.Millisecond

type runningJob struct {
	job           Job
	began         time.Duration
	remainingWork float64       // seconds of work at speed 1
	waitEnd       time.Duration // the end of its waiting on others, once left is 0
}

type offer struct {
	at   time.Duration
	work float64
}

// Server is the queueing model of one server: cores shared evenly by the requests in work, slots, and a waiting room
// of bounded length in order of arrival. It is not safe for concurrent use.
type Server struct {
	spec         Spec
	started      time.Duration
	cold         bool
	playedTo     time.Duration // up to which time has been played
	slowFactor   float64       // speed is divided by it
	inWork       []runningJob
	slotlessWork float64 // seconds of work that hold no slot: handshakes, probes
	queue        []Job
	recentOffers []offer // while cold
	fallen       bool

	busySeconds, finishedJobs float64 // since the report was last refreshed
	reportAt                  time.Duration
	reports                   []datedLoad
}

type datedLoad struct {
	visibleAt time.Duration
	load      Load
}

// NewServer returns a server that started at the time started, cold or long ago.
func NewServer(spec Spec, started time.Duration, cold bool) *Server {
	return &Server{spec: spec, started: started, playedTo: started, cold: cold && spec.ColdFor > 0, slowFactor: 1, reportAt: started}
}

// SetSlow divides the server's speed by factor from now on; 1 ends that.
func (s *Server) SetSlow(now time.Duration, factor float64) []Done {
	done := s.Advance(now)
	s.slowFactor = max(factor, 1e-3)
	return done
}

// Capacity is the work at speed 1 that the server can do in a second, before what it loses by holding too many.
func (s *Server) Capacity(now time.Duration) float64 {
	return s.spec.Cores * s.spec.Speed / s.slowFactor * s.warmFraction(now)
}

func (s *Server) warmFraction(now time.Duration) float64 {
	if !s.cold || now >= s.started+s.spec.ColdFor {
		return 1
	}
	return s.spec.ColdFrom + (1-s.spec.ColdFrom)*float64(now-s.started)/float64(s.spec.ColdFor)
}

// Offer hands the server a job at now. Advance(now) has to come first.
func (s *Server) Offer(now time.Duration, j Job) Verdict {
	if s.fallen || s.exceedsColdBudget(now, j.Work) {
		s.fallen = true
		return FellOver
	}
	if s.spec.Slots == 0 || len(s.inWork) < s.spec.Slots {
		s.begin(now, j)
		return Accepted
	}
	if s.spec.Queue > 0 && len(s.queue) >= s.spec.Queue {
		return Rejected
	}
	s.queue = append(s.queue, j)
	return Accepted
}

// pushedOver counts work offered to a cold server, also what it will turn away, against the budget of the window.
func (s *Server) exceedsColdBudget(now time.Duration, work time.Duration) bool {
	if s.spec.FallFor == 0 || s.warmFraction(now) >= 1 {
		s.recentOffers = nil
		return false
	}
	s.recentOffers = append(s.recentOffers, offer{now, work.Seconds()})
	for len(s.recentOffers) > 0 && s.recentOffers[0].at <= now-s.spec.FallFor {
		s.recentOffers = s.recentOffers[1:]
	}
	sum := 0.0
	for _, o := range s.recentOffers {
		sum += o.work
	}
	return sum > s.spec.FallMultiple*s.Capacity(now)*s.spec.FallFor.Seconds()
}

// Fallen reports whether the server was pushed over.
func (s *Server) Fallen() bool { return s.fallen }

// AddWork takes in work that holds no slot, such as a handshake.
func (s *Server) AddWork(work time.Duration) { s.slotlessWork += work.Seconds() }

// Drop takes a job out of the queue, whose client has given it up; one in work goes on. It reports whether it did.
func (s *Server) Drop(id uint64) bool {
	for i := range s.queue {
		if s.queue[i].ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Clear forgets all work, as a crash does.
func (s *Server) Clear() { s.inWork, s.queue, s.slotlessWork = nil, nil, 0 }

func (s *Server) begin(now time.Duration, j Job) {
	s.inWork = append(s.inWork, runningJob{job: j, began: now, remainingWork: j.Work.Seconds(), waitEnd: now + j.Wait})
}

// sharing returns how many share the cores, and how much work a second each of them gets.
func (s *Server) coreShares(now time.Duration) (n int, each float64) {
	for i := range s.inWork {
		if s.inWork[i].remainingWork > 0 {
			n++
		}
	}
	if s.slotlessWork > 0 {
		n++
	}
	if n == 0 {
		return 0, 0
	}
	speed := s.spec.Speed / s.slowFactor * s.warmFraction(now)
	if held := float64(len(s.inWork) + len(s.queue)); s.spec.Thrash > 0 && s.spec.ThrashAt > 0 {
		if beyond := held/s.spec.Cores - s.spec.ThrashAt; beyond > 0 {
			speed *= max(0.1, 1-s.spec.Thrash*beyond/s.spec.ThrashAt)
		}
	}
	return n, speed * min(1, s.spec.Cores/float64(n))
}

// next returns how long from s.at until something ends, were nothing else to come; math.MaxInt64 if nothing will.
func (s *Server) nextEvent() (wait time.Duration, each float64) {
	_, each = s.coreShares(s.playedTo)
	wait = math.MaxInt64
	for i := range s.inWork {
		w := &s.inWork[i]
		if w.remainingWork > 0 {
			wait = min(wait, time.Duration(math.Ceil(w.remainingWork/each*1e9)))
		} else {
			wait = min(wait, max(1, w.waitEnd-s.playedTo)) // a moment at least, or time would stand still
		}
	}
	if s.slotlessWork > 0 {
		wait = min(wait, time.Duration(math.Ceil(s.slotlessWork/each*1e9)))
	}
	return wait, each
}

// Next returns when Advance has something to do next, and false where nothing is in work.
func (s *Server) Next() (time.Duration, bool) {
	wait, _ := s.nextEvent()
	if wait == math.MaxInt64 {
		return 0, false
	}
	if s.warmFraction(s.playedTo) < 1 {
		wait = min(wait, warmUpStep)
	}
	return s.playedTo + wait, true
}

// Advance plays time up to now and returns the jobs that ended, in order.
func (s *Server) Advance(now time.Duration) (done []Done) {
	for s.playedTo < now {
		wait, each := s.nextEvent()
		wait = min(wait, now-s.playedTo)
		if s.warmFraction(s.playedTo) < 1 {
			wait = min(wait, warmUpStep)
		}
		if s.spec.ReportEvery > 0 {
			wait = min(wait, s.reportAt+s.spec.ReportEvery-s.playedTo)
		}
		wait = max(wait, 1)
		n, _ := s.coreShares(s.playedTo)
		s.busySeconds += min(float64(n), s.spec.Cores) * wait.Seconds()
		s.playedTo += wait
		done = s.applyWork(wait.Seconds()*each, done)
		s.refreshReport()
	}
	return done
}

// play gives each job in work its share and ends what is done.
func (s *Server) applyWork(share float64, done []Done) []Done {
	const roundingError = 1e-9 // of a second; a nanosecond's rounding is no work
	if s.slotlessWork -= share; s.slotlessWork < roundingError {
		s.slotlessWork = 0
	}
	kept := s.inWork[:0]
	for _, w := range s.inWork {
		if w.remainingWork > 0 {
			if w.remainingWork -= share; w.remainingWork < roundingError {
				w.remainingWork, w.waitEnd = 0, s.playedTo+w.job.Wait
			}
		}
		if w.remainingWork > 0 || w.waitEnd > s.playedTo {
			kept = append(kept, w)
			continue
		}
		s.finishedJobs++
		done = append(done, Done{ID: w.job.ID, Began: w.began})
	}
	s.inWork = kept
	for len(s.queue) > 0 && (s.spec.Slots == 0 || len(s.inWork) < s.spec.Slots) {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if s.spec.DropsExpired && j.Expires > 0 && j.Expires <= s.playedTo {
			done = append(done, Done{ID: j.ID, Expired: true})
			continue
		}
		s.begin(s.playedTo, j)
	}
	return done
}

// refresh makes a new load report when its time has come.
func (s *Server) refreshReport() {
	if s.spec.ReportEvery == 0 || s.playedTo < s.reportAt+s.spec.ReportEvery {
		return
	}
	span := (s.playedTo - s.reportAt).Seconds()
	l := Load{InFlight: len(s.inWork), Queue: len(s.queue), Util: s.busySeconds / span / s.spec.Cores, Rate: s.finishedJobs / span}
	s.reports = append(s.reports, datedLoad{s.playedTo + s.spec.ReportDelay, l})
	s.reportAt, s.busySeconds, s.finishedJobs = s.playedTo, 0, 0
}

// Report returns the load report that is seen at now; false where none is.
func (s *Server) Report(now time.Duration) (Load, bool) {
	for len(s.reports) > 1 && s.reports[1].visibleAt <= now {
		s.reports = s.reports[1:]
	}
	if len(s.reports) == 0 || s.reports[0].visibleAt > now {
		return Load{}, false
	}
	return s.reports[0].load, true
}

// SetReportDelay changes how late reports made from now on are seen.
func (s *Server) SetReportDelay(d time.Duration) { s.spec.ReportDelay = d }

// Held returns how many jobs are in work and how many wait.
func (s *Server) Held() (work, queue int) { return len(s.inWork), len(s.queue) }

// Working returns the jobs in work, with when it began.
func (s *Server) Working() (all []Done) {
	for _, w := range s.inWork {
		all = append(all, Done{ID: w.job.ID, Began: w.began})
	}
	return all
}
