// Package reporting sends metrics to monitoring receivers. It owns one goroutine, the connections to receivers and the writing
// to them. Package report counts, report/feed decides when an interval is sent, report/graphite and report/collectd encode it.
// Reporting never delays a request: it reads counters, asks the exchange for its state and goes on without it after a time-out,
// and every write has a deadline.
//
// reporting.go has the goroutine, sink.go the connection to one receiver, receivers.go creates receivers from the sidecar's
// options. Start reading at Reporter.
package reporting

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"firplank/report"
	"firplank/report/feed"
	"firplank/report/spool"
)

const (
	connectTimeout = 2 * time.Second // for resolving a name and connecting
	stateTimeout   = 250 * time.Millisecond
	// writeTimeout bounds a write, which blocks the goroutine; retryInterval is the pause before the next write.
	writeTimeout  = 10 * time.Millisecond
	retryInterval = 50 * time.Millisecond
)

// Config configures a Reporter.
type Config struct {
	Counts    *report.Counts
	Receivers []Receiver
	// State fills in servers and teams. If it is nil or fails, they are left out of the report.
	State   func(context.Context, *report.State) error
	Started time.Time
	Log     *slog.Logger
	now     func() time.Time // nil means time.Now
}

// Reporter reports to its receivers, at the interval of each. Run is called once; Flush may be called from another goroutine.
type Reporter struct {
	cfg         Config
	table       *report.Table
	sinks       []*sink
	dialResults chan dialResult
	flush       chan time.Duration
	done        chan struct{}
	ctx         context.Context // of Run; its end cancels connection attempts
	tasks       sync.WaitGroup  // connection attempts
}

// dialResult is the outcome of a connection attempt.
type dialResult struct {
	sink *sink
	conn net.Conn
	err  error
}

// New returns a reporter.
func New(cfg Config) *Reporter {
	if cfg.now == nil {
		cfg.now = time.Now
	}
	r := &Reporter{
		cfg:         cfg,
		table:       report.NewTable(),
		dialResults: make(chan dialResult),
		flush:       make(chan time.Duration, 1),
		done:        make(chan struct{}),
	}
	now := cfg.now()
	for i := range cfg.Receivers {
		rc := &cfg.Receivers[i]
		sp := spool.New(rc.SpoolBytes)
		r.sinks = append(r.sinks, &sink{
			Receiver: rc,
			reporter: r,
			spool:    sp,
			clock:    feed.NewClock(now, rc.Interval),
			feed:     feed.New(rc.Policy, sp, rand.New(rand.NewPCG(uint64(now.UnixNano()), uint64(i)))),
		})
	}
	return r
}

// Run reports until ctx ends or a call of Flush is over. Before it returns it closes all connections and waits for connection
// attempts.
func (r *Reporter) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer close(r.done)
	defer r.tasks.Wait() // they end with ctx
	defer stop()
	r.ctx = ctx
	defer func() {
		for _, s := range r.sinks {
			s.close()
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var expired <-chan time.Time
	for {
		now := r.cfg.now()
		wake := now.Add(time.Minute)
		var sample *report.Sample // shared by all sinks whose intervals end together
		for _, s := range r.sinks {
			if at := s.step(now, &sample); at.Before(wake) {
				wake = at
			}
		}
		if expired != nil && r.allDone() {
			return
		}
		timer.Reset(max(time.Millisecond, wake.Sub(now)))
		select {
		case <-timer.C:
		case d := <-r.dialResults:
			d.sink.connected(r.cfg.now(), d)
		case timeout := <-r.flush:
			expired = time.After(timeout)
			r.endIntervals()
		case <-expired:
			r.logUnsent()
			return
		case <-ctx.Done():
			return
		}
	}
}

// Flush ends the open interval and sends all pending ones. It returns when they are sent or the timeout is over; Run ends then.
func (r *Reporter) Flush(timeout time.Duration) {
	select {
	case r.flush <- timeout:
		<-r.done
	case <-r.done:
	}
}

// endIntervals ends every open interval ahead of time, with one sample.
func (r *Reporter) endIntervals() {
	now := r.cfg.now()
	sample := r.sample(now)
	for _, s := range r.sinks {
		end, span := s.clock.EndFinal(now)
		s.endInterval(end, span, sample)
		s.feed.Shutdown()
	}
}

// allDone reports whether every sink has sent all intervals.
func (r *Reporter) allDone() bool {
	for _, s := range r.sinks {
		if !s.feed.Done() {
			return false
		}
	}
	return true
}

// logUnsent logs how many intervals haven't been sent.
func (r *Reporter) logUnsent() {
	for _, s := range r.sinks {
		if n := s.spool.Pending(); n > 0 {
			r.cfg.Log.Warn("intervals are lost with the process", "receiver", s.Name, "intervals", n)
		}
	}
}

// sample reads all series.
func (r *Reporter) sample(now time.Time) *report.Sample {
	st := &report.State{Time: now, Started: r.cfg.Started, MemoryBytes: memoryBytes()}
	if r.cfg.State != nil {
		ctx, cancel := context.WithTimeout(r.ctx, stateTimeout)
		defer cancel()
		if err := r.cfg.State(ctx, st); err != nil && !errors.Is(err, context.Canceled) {
			r.cfg.Log.Debug("servers and teams left out of a report", "error", err)
		}
	}
	oldest := now
	for _, s := range r.sinks {
		c := s.feed.Stats()
		st.Receivers = append(st.Receivers, report.ReceiverState{
			Name:        s.Name,
			Intervals:   c.Intervals,
			Written:     c.Written,
			Resent:      c.Resent,
			Merged:      s.spool.Merged(),
			Disconnects: c.Disconnects,
			Rejected:    s.rejected,
			Pending:     s.spool.Pending(),
			SpoolBytes:  s.spool.Size(),
		})
		if b := s.spool.Start(); !b.IsZero() && b.Before(oldest) {
			oldest = b
		}
	}
	sample := r.cfg.Counts.Collect(r.table, st)
	r.table.Prune(oldest.Unix() - 1)
	return sample
}

// memoryBytes returns the memory that the Go runtime has mapped and not returned to the operating system.
func memoryBytes() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// dial connects to a sink's receiver in a separate goroutine, as resolving a name may block.
func (r *Reporter) dial(s *sink) {
	ctx, cancel := context.WithTimeout(r.ctx, connectTimeout)
	runDone := r.ctx
	r.tasks.Go(func() {
		defer cancel()
		conn, err := (&net.Dialer{}).DialContext(ctx, s.Network, s.Address)
		if err != nil {
			err = errors.Wrap(err, "connect")
		}
		select {
		case r.dialResults <- dialResult{sink: s, conn: conn, err: err}:
		case <-runDone.Done():
			if conn != nil {
				_ = conn.Close() // the connection is released even if this fails
			}
		}
	})
}
