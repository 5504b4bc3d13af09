package model

import (
	"math"
	"time"
)

// Spec is the capacity of a server. A zero field means no limit, except for Cores and Speed.
type Spec struct {
	Cores    float64 // requests that run at full speed concurrently
	Speed    float64 // of a core; 1 does one second of work per second
	Slots    int     // concurrent requests, including those that wait on other services
	Queue    int     // requests that wait for a slot; further ones are rejected
	Thrash   float64 // share of capacity lost for each further ThrashAt requests held per core
	ThrashAt float64 // requests held per core above which the server becomes less efficient

	ColdFrom     float64       // share of the capacity right after a cold start
	ColdFor      time.Duration // time of the linear increase to the full capacity
	FallMultiple float64       // a cold server falls over when offered more than this multiple of its capacity
	FallFor      time.Duration // within a window of this length

	DropsExpired bool          // queued jobs past their deadline are dropped
	ReportEvery  time.Duration // interval of load reports
	ReportDelay  time.Duration // age of a report when it becomes visible
}

// Job is one request at a server.
type Job struct {
	ID      uint64
	Work    time.Duration // core time at speed 1
	Wait    time.Duration // on other services after the work; holds a slot but no core
	Expires time.Duration // deadline; 0: none
}

// Verdict is the decision on an offered job.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota // running or queued
	Rejected                // slots and queue are full: the job never runs
	FellOver                // the server failed from overload and runs nothing further
)

// Done is an accepted job that has ended.
type Done struct {
	ID      uint64
	Began   time.Duration // when work on it began
	Expired bool          // its deadline passed while it was queued; it never ran
}

// Load is a load report.
type Load struct {
	InFlight, Queue int
	Util            float64 // share of the cores in use
	Rate            float64 // requests finished a second
}

// warmUpStep bounds the time for which the capacity is taken as constant while a server warms up.
const warmUpStep = 20 * time.Millisecond

type runningJob struct {
	job           Job
	began         time.Duration
	remainingWork float64       // seconds of work at speed 1
	waitEnd       time.Duration // end of its wait on other services, once remainingWork is 0
}

type offer struct {
	at   time.Duration
	work float64
}

// Server is the queueing model of one server: cores that the running requests share evenly, slots, and a bounded FIFO queue. It
// is not safe for concurrent use.
type Server struct {
	spec         Spec
	started      time.Duration
	cold         bool
	playedTo     time.Duration // time up to which the model has advanced
	slowFactor   float64       // divides the speed
	inWork       []runningJob
	slotlessWork float64 // seconds of work without a slot: handshakes, probes
	queue        []Job
	recentOffers []offer // while cold
	fallen       bool

	busySeconds, finishedJobs float64 // since the last load report
	reportAt                  time.Duration
	reports                   []datedLoad
}

type datedLoad struct {
	visibleAt time.Duration
	load      Load
}

// NewServer returns a server that starts at the time started, either cold or fully warm.
func NewServer(spec Spec, started time.Duration, cold bool) *Server {
	return &Server{spec: spec, started: started, playedTo: started, cold: cold && spec.ColdFor > 0, slowFactor: 1, reportAt: started}
}

// SetSlow divides the server's speed by factor from now on; 1 restores it. It returns the jobs that ended until now.
func (s *Server) SetSlow(now time.Duration, factor float64) []Done {
	done := s.Advance(now)
	s.slowFactor = max(factor, 1e-3)
	return done
}

// Capacity returns the work at speed 1 that the server does per second, without losses by thrashing.
func (s *Server) Capacity(now time.Duration) float64 {
	return s.spec.Cores * s.spec.Speed / s.slowFactor * s.warmFraction(now)
}

func (s *Server) warmFraction(now time.Duration) float64 {
	if !s.cold || now >= s.started+s.spec.ColdFor {
		return 1
	}
	return s.spec.ColdFrom + (1-s.spec.ColdFrom)*float64(now-s.started)/float64(s.spec.ColdFor)
}

// Offer offers a job to the server at now. The caller must call Advance(now) first.
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

// exceedsColdBudget reports whether the work offered to a cold server within FallFor, including jobs that it rejects, exceeds
// the budget of that window.
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

// Fallen reports whether the server failed from overload while cold.
func (s *Server) Fallen() bool { return s.fallen }

// AddWork adds work that needs no slot, such as a handshake.
func (s *Server) AddWork(work time.Duration) { s.slotlessWork += work.Seconds() }

// Drop removes a queued job whose client gave up. It returns false if the job is not queued; a running job continues.
func (s *Server) Drop(id uint64) bool {
	for i := range s.queue {
		if s.queue[i].ID == id {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Clear removes all work, as after a crash.
func (s *Server) Clear() { s.inWork, s.queue, s.slotlessWork = nil, nil, 0 }

func (s *Server) begin(now time.Duration, j Job) {
	s.inWork = append(s.inWork, runningJob{job: j, began: now, remainingWork: j.Work.Seconds(), waitEnd: now + j.Wait})
}

// coreShares returns the number of jobs that share the cores, and the work per second that each of them gets.
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

// nextEvent returns the time from s.playedTo to the next end of work or of a wait if no further job arrives, and each job's work per
// second until then. The time is math.MaxInt64 if nothing is running.
func (s *Server) nextEvent() (wait time.Duration, each float64) {
	_, each = s.coreShares(s.playedTo)
	wait = math.MaxInt64
	for i := range s.inWork {
		w := &s.inWork[i]
		if w.remainingWork > 0 {
			wait = min(wait, time.Duration(math.Ceil(w.remainingWork/each*1e9)))
		} else {
			wait = min(wait, max(1, w.waitEnd-s.playedTo)) // at least 1 ns, or the model would not advance
		}
	}
	if s.slotlessWork > 0 {
		wait = min(wait, time.Duration(math.Ceil(s.slotlessWork/each*1e9)))
	}
	return wait, each
}

// Next returns the time of the next event for Advance, and false if nothing is running.
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

// Advance advances the model to now and returns the jobs that ended, in order.
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

// applyWork gives each running job its share of work, ends completed jobs and starts queued ones.
func (s *Server) applyWork(share float64, done []Done) []Done {
	const roundingError = 1e-9 // seconds; remainders below 1 ns come from rounding
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

// refreshReport creates a new load report if one is due.
func (s *Server) refreshReport() {
	if s.spec.ReportEvery == 0 || s.playedTo < s.reportAt+s.spec.ReportEvery {
		return
	}
	span := (s.playedTo - s.reportAt).Seconds()
	l := Load{InFlight: len(s.inWork), Queue: len(s.queue), Util: s.busySeconds / span / s.spec.Cores, Rate: s.finishedJobs / span}
	s.reports = append(s.reports, datedLoad{s.playedTo + s.spec.ReportDelay, l})
	s.reportAt, s.busySeconds, s.finishedJobs = s.playedTo, 0, 0
}

// Report returns the load report that is visible at now, and false if there is none.
func (s *Server) Report(now time.Duration) (Load, bool) {
	for len(s.reports) > 1 && s.reports[1].visibleAt <= now {
		s.reports = s.reports[1:]
	}
	if len(s.reports) == 0 || s.reports[0].visibleAt > now {
		return Load{}, false
	}
	return s.reports[0].load, true
}

// SetReportDelay changes the delay of reports that are created from now on.
func (s *Server) SetReportDelay(d time.Duration) { s.spec.ReportDelay = d }

// Held returns the numbers of running and of queued jobs.
func (s *Server) Held() (work, queue int) { return len(s.inWork), len(s.queue) }

// Working returns the running jobs with the times at which they began.
func (s *Server) Working() (all []Done) {
	for _, w := range s.inWork {
		all = append(all, Done{ID: w.job.ID, Began: w.began})
	}
	return all
}
