package load

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"firplank/internal/poller"
)

// conn is one connection. mu guards all fields but loader and number.
type conn struct {
	loader *loader
	number int

	mu               sync.Mutex
	fd               int // -1: not open
	registration     poller.Registration
	inFlight         bool // a request or the greeting is in flight
	planned          time.Duration
	isGreeting       bool // the request in flight is the greeting
	openedForRequest bool // the connection was opened for the request in flight
	received         []byte
	waiting          []time.Duration // planned starts that came while a request was in flight
}

type loader struct {
	cfg        *Config
	serverAddr unix.SockaddrInet4
	poller     *poller.Poller
	conns      []*conn
	start      time.Time // planned times are relative to it

	scratch []byte // read buffer of the polling goroutine

	mu                              sync.Mutex
	result                          Result
	served, refused, failed         latencyHistogram
	pending                         int           // requests in flight or waiting
	done                            chan struct{} // closed when all have been started and none is pending
	allStarted                      bool
	lastNumber                      uint64
	pendingGreetings, greetingsSent int
	greetingsDone                   chan struct{}
	lastResponse                    time.Duration
	request                         []byte
	numberOffsets                   []int // offsets of the numbers in request
}

// Run generates a load until the last response has arrived or timed out, or until ctx ends.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	addr := netip.MustParseAddrPort(cfg.Addr)
	p, err := poller.New()
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	l := &loader{
		cfg: &cfg, serverAddr: unix.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}, poller: p, scratch: make([]byte, 64<<10),
		served: newLatencyHistogram(), refused: newLatencyHistogram(), failed: newLatencyHistogram(),
		done: make(chan struct{}), greetingsDone: make(chan struct{}),
	}
	l.prepareRequest()
	var polling sync.WaitGroup
	polling.Go(func() { p.Run(func() {}, nil) })
	defer polling.Wait()
	defer p.Close()
	defer l.closeAll()
	l.result.MemoryKB[0] = residentKB(cfg.PID)
	if err := l.openConnections(ctx); err != nil {
		return nil, err
	}
	l.result.MemoryKB[1] = residentKB(cfg.PID)
	l.result.BytesPerConnection = float64(l.result.MemoryKB[1]-l.result.MemoryKB[0]) * 1024 / float64(max(1, l.result.Held))
	plan, cpu := cfg.plan(), cpuTime(cfg.PID)
	l.mu.Lock()
	l.start = time.Now()
	l.mu.Unlock()
	for _, s := range plan {
		if err := sleep(ctx, s.at-time.Since(l.start)); err != nil {
			return nil, err
		}
		l.conns[s.conn].beginRequest(s.at)
	}
	l.mu.Lock()
	l.allStarted = true
	l.checkDone()
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(cfg.ResponseTimeout):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.result.CPU = cpuTime(cfg.PID) - cpu
	l.result.MemoryKB[2] = residentKB(cfg.PID)
	return l.finalResult(), nil
}

// sleep waits for a time, if it is above 0. It returns an error if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *loader) finalResult() *Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Lost += l.pending
	l.result.Duration = l.lastResponse
	l.result.Served, l.result.Refused, l.result.Failed = l.served.latency(), l.refused.latency(), l.failed.latency()
	for _, c := range l.conns {
		if c.fd >= 0 {
			l.result.HeldAtEnd++
		}
	}
	r := l.result
	return &r
}

func (l *loader) closeAll() {
	for _, c := range l.conns {
		c.mu.Lock()
		c.close()
		c.mu.Unlock()
	}
}

// openConnections opens the connections and waits for the responses to the greetings.
func (l *loader) openConnections(ctx context.Context) error {
	begun := time.Now()
	for i := range l.cfg.Connections {
		if l.cfg.ConnectionsPerSecond > 0 {
			wait := time.Duration(float64(i)/l.cfg.ConnectionsPerSecond*float64(time.Second)) - time.Since(begun)
			if err := sleep(ctx, wait); err != nil {
				return err
			}
		}
		c := &conn{loader: l, number: i, fd: -1}
		l.conns = append(l.conns, c)
		c.mu.Lock()
		err := c.dial()
		if err == nil && l.cfg.Greeting != "" {
			c.inFlight, c.isGreeting = true, true
			l.mu.Lock()
			l.pendingGreetings++
			l.mu.Unlock()
			c.write([]byte(l.cfg.Greeting))
		}
		c.mu.Unlock()
		if err != nil {
			l.result.DialFailures++
			if l.result.DialFailures > 100 && l.result.DialFailures*2 > i {
				return fmt.Errorf("load: %d of %d connections could not be opened: %w", l.result.DialFailures, i+1, err)
			}
		}
	}
	l.mu.Lock()
	l.greetingsSent = l.cfg.Connections
	if l.pendingGreetings == 0 {
		close(l.greetingsDone)
	}
	l.mu.Unlock()
	select {
	case <-l.greetingsDone:
	case <-time.After(l.cfg.ResponseTimeout):
	case <-ctx.Done():
		return ctx.Err()
	}
	l.result.Ramp = time.Since(begun)
	for _, c := range l.conns {
		c.mu.Lock()
		if c.fd >= 0 {
			l.result.Held++
		}
		c.mu.Unlock()
	}
	return nil
}

// prepareRequest replaces each {n} of the request with a placeholder and records its offset.
func (l *loader) prepareRequest() {
	const digits = "0000000000000000"
	text := []byte(l.cfg.Request)
	for {
		at := bytes.Index(text, []byte("{n}"))
		if at < 0 {
			break
		}
		l.numberOffsets = append(l.numberOffsets, at)
		text = append(append(append([]byte(nil), text[:at]...), digits...), text[at+3:]...)
	}
	l.request = text
}

// dial opens the connection. The caller holds mu.
func (c *conn) dial() error {
	l := c.loader
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	// The kernel chooses the port at connect, when the destination is known, so that each source address has all ports for it.
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)             // the connection works without the option
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)                        // the connection works without the option
	_ = unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_SNDTIMEO, &unix.Timeval{Sec: 3}) // the time-out of connect
	from := &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, byte(1 + c.number%l.cfg.Sources)}}
	if err = unix.Bind(fd, from); err == nil {
		err = unix.Connect(fd, &l.serverAddr)
	}
	if err == nil {
		err = unix.SetNonblock(fd, true)
	}
	if err == nil {
		c.fd = fd
		err = l.poller.Register(fd, c, &c.registration)
	}
	if err != nil {
		_ = unix.Close(fd) // the descriptor is released even where this fails
		c.fd = -1
		return fmt.Errorf("load: connect: %w", err)
	}
	return nil
}

// close closes the connection. The caller holds mu.
func (c *conn) close() {
	if c.fd >= 0 {
		c.loader.poller.Unregister(c.registration)
		_ = unix.Close(c.fd) // the descriptor is released even where this fails
		c.fd, c.received = -1, nil
	}
}

// beginRequest sends the request that was planned for a time, or queues it while another one is in flight.
func (c *conn) beginRequest(planned time.Duration) {
	l := c.loader
	l.mu.Lock()
	l.pending++
	l.result.Sent++
	l.result.MaxStartDelayMS = max(l.result.MaxStartDelayMS, float64(time.Since(l.start)-planned)/float64(time.Millisecond))
	l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight {
		c.waiting = append(c.waiting, planned)
		return
	}
	c.send(planned)
}

// send sends a request. The caller holds mu.
func (c *conn) send(planned time.Duration) {
	l := c.loader
	c.inFlight, c.planned, c.isGreeting, c.openedForRequest = true, planned, false, c.fd < 0
	if c.openedForRequest {
		if c.dial() != nil {
			c.finishRequest(statusLost)
			return
		}
		l.mu.Lock()
		l.result.Reopened++
		l.mu.Unlock()
	}
	l.mu.Lock()
	l.lastNumber++
	n := l.lastNumber
	l.mu.Unlock()
	text := l.request
	if len(l.numberOffsets) > 0 {
		text = bytes.Clone(text)
		for _, at := range l.numberOffsets {
			copy(text[at:], fmt.Sprintf("%016x", n))
		}
	}
	c.write(text)
}

// write writes a request, which is small enough for the kernel's send buffer. The caller holds mu.
func (c *conn) write(text []byte) {
	if n, err := unix.Write(c.fd, text); err != nil || n < len(text) {
		c.handleClose()
	}
}

const (
	statusLost       = 0       // status of a request without a response
	maxResponseBytes = 1 << 20 // a longer response ends the connection
)

// finishRequest records the status of the request in flight and sends the next one that waits. The caller holds mu.
func (c *conn) finishRequest(status int) {
	l := c.loader
	c.inFlight = false
	l.mu.Lock()
	took := time.Since(l.start) - c.planned
	switch {
	case c.isGreeting:
		if l.pendingGreetings--; l.pendingGreetings == 0 && l.greetingsSent > 0 {
			close(l.greetingsDone)
		}
	case took > l.cfg.ResponseTimeout || status == statusLost:
		l.result.Lost++
	case status >= 200 && status < 300:
		l.served.record(took)
	case status == 429 || status == 503:
		l.refused.record(took)
	default:
		l.failed.record(took)
	}
	if !c.isGreeting {
		l.pending--
		l.lastResponse = max(l.lastResponse, time.Since(l.start))
		l.checkDone()
	}
	l.mu.Unlock()
	if len(c.waiting) > 0 {
		next := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.send(next)
	}
}

// checkDone closes done if all requests have been started and have ended. The caller holds mu.
func (l *loader) checkDone() {
	if l.allStarted && l.pending == 0 {
		select {
		case <-l.done:
		default:
			close(l.done)
		}
	}
}

// Ready implements poller.Handler.
func (c *conn) Ready(events uint32) {
	if events&poller.Readable == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.fd >= 0 {
		n, err := unix.Read(c.fd, c.loader.scratch)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return
		case err != nil || n == 0:
			c.handleClose()
			return
		}
		c.received = append(c.received, c.loader.scratch[:n]...)
		status, last, whole := parseResponse(c.received)
		if !whole && len(c.received) > maxResponseBytes {
			c.handleClose()
			return
		}
		if !whole {
			continue
		}
		c.received = nil
		if last {
			c.close()
		}
		if c.inFlight {
			c.finishRequest(status)
		}
		if last {
			return
		}
	}
}

// handleClose handles a connection that the server has closed. A request that was sent on a reused connection and got no bytes
// of a response is sent once more, as HTTP clients do with a stale connection. The caller holds mu.
func (c *conn) handleClose() {
	crossed := len(c.received) == 0 && !c.openedForRequest && !c.isGreeting
	c.close()
	if c.inFlight && crossed {
		c.send(c.planned)
		return
	}
	if c.inFlight {
		c.finishRequest(statusLost)
		return
	}
	c.loader.mu.Lock()
	c.loader.result.Closed++
	c.loader.mu.Unlock()
}

// parseResponse parses a response with a Content-Length. It returns its status, whether the connection ends with it, and whether
// it is complete.
func parseResponse(b []byte) (status int, last, whole bool) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 || len(b) < 12 {
		return 0, false, false
	}
	status, _ = strconv.Atoi(string(b[9:12]))
	length := 0
	for line := range bytes.SplitSeq(b[:end], []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			length, _ = strconv.Atoi(string(bytes.TrimSpace(value)))
		case bytes.EqualFold(name, []byte("Connection")):
			last = bytes.EqualFold(bytes.TrimSpace(value), []byte("close"))
		}
	}
	return status, last, len(b) >= end+4+length
}

var (
	residentLine = regexp.MustCompile(`(?m)^VmRSS:\s+(\d+) kB$`)
	statFields   = regexp.MustCompile(`\) \S+ (?:\S+ ){10}(\d+) (\d+) `)
)

// residentKB returns the resident memory of a process in KB; 0 if it cannot be read.
func residentKB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	if m := residentLine.FindSubmatch(text); m != nil {
		kb, _ := strconv.ParseInt(string(m[1]), 10, 64)
		return kb
	}
	return 0
}

// cpuTime returns the CPU time of a process, which the kernel counts in hundredths of a second; 0 if it cannot be read.
func cpuTime(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	m := statFields.FindSubmatch(text)
	if m == nil {
		return 0
	}
	user, _ := strconv.Atoi(string(m[1]))
	system, _ := strconv.Atoi(string(m[2]))
	return time.Duration(user+system) * 10 * time.Millisecond
}
