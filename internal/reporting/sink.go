package reporting

import (
	"bytes"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"

	"firplank/internal/socket"
	"firplank/report"
	"firplank/report/feed"
	"firplank/report/spool"
)

// Receiver is a monitoring system that metrics are sent to.
type Receiver struct {
	Name             string
	Network, Address string // "tcp", "udp" or "unix"
	Interval         time.Duration
	SpoolBytes       int
	Policy           feed.Policy
	// Encode encodes a reading, which may be late, as pieces. On a packet network each piece is one packet. acks is the number of
	// acknowledgements to expect from a receiver that sends them.
	Encode func(r *report.Reading, table *report.Table, late bool) (pieces [][]byte, acks int, err error)
}

// sink sends intervals to one receiver. It belongs to the reporter's goroutine.
type sink struct {
	*Receiver
	reporter *Reporter
	spool    *spool.Spool
	feed     *feed.Feed
	clock    *feed.Clock
	previous []int64 // the counters at the end of the previous interval

	conn        net.Conn // nil if not connected
	outgoing    [][]byte // pieces of the current interval that aren't written yet
	pendingAcks []int    // expected acknowledgements by written interval, oldest first
	received    []byte   // an incomplete acknowledgement
	rejected    int64
	lastLogged  time.Time
}

// step ends an interval that is over, reads and writes what is possible without waiting, and returns when to call it again.
// sample is shared by the sinks whose intervals end together.
func (s *sink) step(now time.Time, sample **report.Sample) time.Time {
	if end, span, ok := s.clock.End(now); ok {
		if *sample == nil {
			*sample = s.reporter.sample(now)
		}
		s.endInterval(end, span, *sample)
	}
	wake := s.clock.Next()
	if until := now.Add(s.Interval); until.Before(wake) { // the clock was set back
		wake = until
	}
	if s.conn != nil {
		s.receive(now)
	}
	for {
		if len(s.outgoing) > 0 && !s.write(now) {
			if s.conn != nil {
				wake = earlier(wake, now.Add(retryInterval))
			}
		}
		action, e, at := s.feed.Next(now)
		switch action {
		case feed.Dial:
			s.reporter.dial(s)
			continue
		case feed.Send:
			s.render(now, e)
			continue
		case feed.Close:
			s.disconnected(now, errStalled)
			continue
		}
		if len(s.pendingAcks) > 0 {
			wake = earlier(wake, now.Add(retryInterval))
		}
		return earlier(wake, at)
	}
}

// earlier returns the earlier of two times; a zero b is ignored.
func earlier(a, b time.Time) time.Time {
	if !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// endInterval adds an interval to the spool. A counter that has decreased was reset, so its value is its growth.
func (s *sink) endInterval(end time.Time, span time.Duration, sample *report.Sample) {
	growth := make([]int64, len(sample.Counters))
	for i, v := range sample.Counters {
		growth[i] = v
		if i < len(s.previous) && v >= s.previous[i] {
			growth[i] = v - s.previous[i]
		}
	}
	s.previous = append(s.previous[:0], sample.Counters...)
	s.feed.AddInterval(spool.Pack(end, span, growth, sample.Gauges))
}

// render encodes an interval as the outgoing pieces.
func (s *sink) render(now time.Time, e *spool.Entry) {
	started := time.Now()
	t := s.reporter.table
	counters, gauges := t.Sizes()
	totals := s.spool.Totals(e)
	growth := e.AddTo(make([]int64, counters))
	if len(totals) < counters {
		totals = append(totals, make([]int64, counters-len(totals))...)
	}
	pieces, expectedAcks, err := s.Encode(t.Render(e.End, e.Duration, growth, totals, e.Gauges(nans(gauges))), t, s.feed.Late())
	if err != nil { // not retried, as it would fail again
		s.rejected++
		s.logProblem(now, "an interval cannot be encoded", err.Error())
	}
	s.outgoing = pieces
	s.feed.Encoded(now, time.Since(started))
	if s.Policy.Acks {
		s.pendingAcks = append(s.pendingAcks, expectedAcks)
	}
	if len(pieces) == 0 {
		s.outgoing = [][]byte{{}}
	}
}

// write writes as much as the receiver accepts without blocking, and reports whether everything was written.
func (s *sink) write(now time.Time) bool {
	for len(s.outgoing) > 0 {
		// Fails only on a closed connection, on which the next call fails too.
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := s.conn.Write(s.outgoing[0])
		if n > 0 {
			s.feed.Progress(now)
		}
		switch {
		case err == nil:
			s.outgoing = s.outgoing[1:]
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.outgoing[0] = s.outgoing[0][n:]
			return false
		default:
			s.disconnected(now, err)
			return false
		}
	}
	s.outgoing = nil
	s.feed.Written(now)
	return true
}

const (
	maxAckBytes        = 4 << 10 // of one line
	maxLoggedAck       = 200     // in bytes
	readTimeout        = time.Millisecond
	problemLogInterval = time.Minute
)

// Reasons for closing a connection.
var (
	errStalled      = errors.New("no progress or no acknowledgement in time")
	errClosed       = errors.New("closed by the receiver")
	errMalformedAck = errors.New("acknowledgement is not a line")
)

// receive reads acknowledgements, or checks whether the receiver has closed the connection.
func (s *sink) receive(now time.Time) {
	if !s.Policy.Acks {
		if c, ok := s.conn.(*net.TCPConn); ok && socket.Peek(c) == socket.Closed {
			s.disconnected(now, errClosed)
		}
		return
	}
	var b [maxAckBytes]byte
	for s.conn != nil && len(s.pendingAcks) > 0 {
		// Fails only on a closed connection, on which the next call fails too.
		_ = s.conn.SetReadDeadline(time.Now().Add(readTimeout))
		n, err := s.conn.Read(b[:])
		s.received = append(s.received, b[:n]...)
		for s.handleAck(now) {
		}
		switch {
		case len(s.received) > maxAckBytes:
			s.disconnected(now, errMalformedAck)
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			s.disconnected(now, err)
		case err != nil:
			return
		}
	}
}

// handleAck handles the first complete acknowledgement received, and reports whether there was one.
func (s *sink) handleAck(now time.Time) bool {
	line, rest, complete := bytes.Cut(s.received, []byte("\n"))
	if !complete || len(s.pendingAcks) == 0 {
		return false
	}
	s.received = append(s.received[:0], rest...)
	if bytes.HasPrefix(line, []byte("-")) {
		s.rejected++
		s.logProblem(now, "a receiver rejected values", string(line[:min(len(line), maxLoggedAck)]))
	}
	s.feed.Progress(now)
	s.pendingAcks[0]--
	for len(s.pendingAcks) > 0 && s.pendingAcks[0] <= 0 {
		s.pendingAcks = s.pendingAcks[1:]
		s.feed.Acked(now)
	}
	return true
}

// connected handles the outcome of a connection attempt.
func (s *sink) connected(now time.Time, d dialResult) {
	if d.err != nil {
		s.logProblem(now, "a receiver cannot be reached", d.err.Error())
		s.feed.Disconnected(now)
		return
	}
	s.conn = d.conn
	s.feed.Connected(now)
	s.reporter.cfg.Log.Info("connected to receiver", "receiver", s.Name, "address", s.Address, "waiting", s.spool.Pending())
}

// disconnected closes the connection. Intervals that aren't known to be delivered are sent again.
func (s *sink) disconnected(now time.Time, err error) {
	s.logProblem(now, "connection to a receiver lost", err.Error())
	s.close()
	s.feed.Disconnected(now)
}

func (s *sink) close() {
	if s.conn != nil {
		_ = s.conn.Close() // the connection is released even if this fails
	}
	s.conn, s.outgoing, s.pendingAcks, s.received = nil, nil, nil, nil
}

// logProblem logs a problem with the receiver, at most once in problemLogInterval.
func (s *sink) logProblem(now time.Time, message, reason string) {
	if now.Sub(s.lastLogged) >= problemLogInterval || s.lastLogged.IsZero() {
		s.lastLogged = now
		s.reporter.cfg.Log.Warn(message, "receiver", s.Name, "address", s.Address, "why", reason)
	}
}
