package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cedararch/lab/judge"
	"cedararch/lab/model"
	"cedararch/lab/scenario"
)

// Tally is what became of one arrival, over all its tries.
type Tally struct {
	Arrival   int
	Class     int
	Tenant    int
	At        time.Duration // planned
	End       scenario.Ending
	Took      time.Duration // from At, where it was served
	Tries     int
	RefusedIn time.Duration // the longest that a try took to be refused; 0 if none was
}

// CallersConfig describes the clients of a run.
type CallersConfig struct {
	Scenario *scenario.Scenario
	Plan     *scenario.Plan
	Addrs    []string // of the sidecars
	RPCAddrs []string // ... for MessagePack-RPC, where the clients speak that
	Clock    Clock
	Observer Observer
	MostOpen int   // connections to one sidecar, beside those that are held; tries beyond it wait for one
	Held     *Held // connections that some arrivals go out on; nil: none
	// Linger is how long a client goes on reading after it has given a try up, so that a final answer that comes just in
	// time is seen. What is served by then is of no use to it any more.
	Linger time.Duration
}

// Callers are the clients of a run: each arrival is begun at its planned time, whatever became of those before it.
type Callers struct {
	cfg   CallersConfig
	pools []*callerPool
	rpc   []*rpcPool
	tally []Tally
	late  atomic.Int64 // nanoseconds by which the latest start came after its plan
}

// callerPool keeps the clients' connections to one sidecar.
type callerPool struct {
	addr string
	room chan struct{}
	away atomic.Bool // it is about to end, and gets no new connections

	mu   sync.Mutex
	idle []*callerConn
}

type callerConn struct {
	net.Conn
	in   *bufio.Reader
	last string // the request that was answered last
	used bool
}

// NewCallers returns clients that have not begun.
func NewCallers(cfg CallersConfig) *Callers {
	if cfg.MostOpen == 0 {
		cfg.MostOpen = 256
	}
	c := &Callers{cfg: cfg, tally: make([]Tally, len(cfg.Plan.Arrivals))}
	for _, addr := range cfg.Addrs {
		c.pools = append(c.pools, &callerPool{addr: addr, room: make(chan struct{}, cfg.MostOpen)})
	}
	for _, addr := range cfg.RPCAddrs {
		c.rpc = append(c.rpc, &rpcPool{addr: addr})
	}
	return c
}

// Run plays all arrivals and returns when the last has ended, or ctx does.
func (c *Callers) Run(ctx context.Context) []Tally {
	var tasks sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for i := range c.cfg.Plan.Arrivals {
		a := &c.cfg.Plan.Arrivals[i]
		if wait := a.At - c.cfg.Clock(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				tasks.Wait()
				return c.tally[:i]
			}
		}
		if late := int64(c.cfg.Clock() - a.At); late > c.late.Load() {
			c.late.Store(late)
		}
		tasks.Go(func() { c.tally[a.Number] = c.arrive(ctx, a) })
	}
	tasks.Wait()
	for _, p := range c.pools {
		p.close()
	}
	for _, p := range c.rpc {
		p.close()
	}
	return c.tally
}

// Late returns by how much the latest arrival was begun after its planned time.
func (c *Callers) Late() time.Duration { return time.Duration(c.late.Load()) }

// arrive plays one arrival with its retries.
func (c *Callers) arrive(ctx context.Context, a *scenario.Arrival) Tally {
	s := c.cfg.Scenario
	class := &s.Classes[a.Class]
	deadline := a.At + scenario.MS(class.DeadlineMS)
	random := model.Rand(s.Seed, "tries", strconv.Itoa(a.Number))
	t := Tally{Arrival: a.Number, Class: a.Class, Tenant: a.Tenant, At: a.At}
	for try := 0; ; try++ {
		t.Tries++
		sidecar := a.Sidecar
		if s.Clients.Failover {
			sidecar = (a.Sidecar + try) % len(c.pools)
		}
		began := c.cfg.Clock()
		give := min(deadline, began+time.Duration(s.Clients.TryShare*float64(scenario.MS(class.DeadlineMS))))
		if try > 0 && s.Clients.Retries == try {
			give = deadline // the last one waits as long as anyone would
		}
		var after time.Duration
		t.End, after = c.try(a, try, sidecar, give)
		now := c.cfg.Clock()
		if t.End == scenario.Refused {
			t.RefusedIn = max(t.RefusedIn, now-began)
		}
		if t.End == scenario.Served {
			t.Took = now - a.At
		}
		wait, again := s.Clients.Again(random, class.Effect, try, t.End, after, deadline-now)
		if !again || a.Quirk == scenario.HangsUp {
			return t
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return t
		}
	}
}

// try sends a request once. A kept connection that turns out to be closed is no answer: the request is sent once more
// on a new one.
func (c *Callers) try(a *scenario.Arrival, number, sidecar int, give time.Duration) (scenario.Ending, time.Duration) {
	p := c.pools[sidecar]
	held := c.cfg.Held.take(a, number, sidecar)
	if held == nil {
		p.room <- struct{}{}
		defer func() { <-p.room }()
	}
	trace := a.Trace(c.cfg.Scenario.Seed, number)
	if c.cfg.Scenario.Clients.RPC() {
		return c.tryRPC(a, number, sidecar, trace, give)
	}
	for {
		conn, err := held, error(nil)
		if held = nil; conn == nil {
			conn, err = p.get(c.cfg.Observer, c.cfg.Clock)
		}
		if err != nil {
			return scenario.Lost, 0 // it never reached the sidecar
		}
		kept := conn.used
		end, after, stale := c.exchange(conn, a, number, trace, sidecar, give)
		if stale && kept {
			continue
		}
		return end, after
	}
}

var errAway = errors.New("client: the sidecar is about to end")

// SetAway says whether a sidecar is about to end, or has ended, by plan: it gets no new connections then.
func (c *Callers) SetAway(sidecar int, away bool) { c.pools[sidecar].away.Store(away) }

var errUnread = errors.New("the connection ended before anything came")

func (c *Callers) exchange(conn *callerConn, a *scenario.Arrival, number int, trace string, sidecar int, give time.Duration) (
	end scenario.Ending, after time.Duration, stale bool,
) {
	p := c.pools[sidecar]
	left := give - c.cfg.Clock()
	if left <= 0 {
		p.put(conn)
		return scenario.Lost, 0, false
	}
	conn.SetDeadline(time.Now().Add(left + c.cfg.Linger))
	// Told first: a server may see the request before Write returns.
	c.cfg.Observer.Sent(judge.Try{
		Trace: trace, Arrival: a.Number, Class: a.Class, Key: a.Key, Sidecar: sidecar, Sent: c.cfg.Clock(), Deadline: give,
	})
	if _, err := io.WriteString(conn, c.request(a, number, trace, left)); err != nil {
		conn.Close()
		if conn.used {
			return scenario.Lost, 0, true
		}
		c.cfg.Observer.Answered(trace, c.cfg.Clock(), judge.Broken, "")
		return scenario.Lost, 0, false
	}
	switch a.Quirk {
	case scenario.HangsUp:
		time.Sleep(min(a.GoesAt, left))
		c.cfg.Observer.Gone(trace, c.cfg.Clock())
		conn.Close()
		return scenario.Lost, 0, false
	case scenario.HalfCloses:
		conn.Conn.(*net.TCPConn).CloseWrite()
	case scenario.ReadsSlowly:
		conn.in = bufio.NewReaderSize(&slowReader{conn.Conn}, 16)
	}
	answer, err := readAnswer(conn.in)
	now := c.cfg.Clock()
	if err != nil {
		conn.Close()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return scenario.Lost, 0, false // the judge finds it unanswered
		}
		// Who has ended its sending knows that the sidecar has seen that: it is no crossing of two closes.
		if errors.Is(err, errUnread) && conn.used && a.Quirk != scenario.HalfCloses {
			return scenario.Lost, 0, true
		}
		c.cfg.Observer.Answered(trace, now, judge.Broken, "")
		return scenario.Lost, 0, false
	}
	if conn.in.Buffered() > 0 {
		c.cfg.Observer.Extra(trace, now)
		answer.closes = true
	}
	c.cfg.Observer.Answered(trace, now, answer.judged, answer.made)
	if now > give {
		answer.end = scenario.Lost
	}
	conn.last, conn.used = trace, true
	if answer.closes || a.Quirk != scenario.Usual {
		conn.Close()
	} else {
		p.put(conn)
	}
	return answer.end, answer.after, false
}

// slowReader takes its time over each read.
type slowReader struct{ from io.Reader }

func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return s.from.Read(p[:min(len(p), 16)])
}

// request renders a request as the protocol has it.
func (c *Callers) request(a *scenario.Arrival, try int, trace string, left time.Duration) string {
	s := c.cfg.Scenario
	class := &s.Classes[a.Class]
	var b strings.Builder
	method, body := "POST", "do "+a.Object
	if class.Effect == "safe" {
		method, body = "GET", ""
	}
	path := "/" + a.Object
	if s.RPCServers() { // by the path they know the method
		method, path, body = "POST", "", string(c.params(a, try, trace, left))
	}
	fmt.Fprintf(&b, "%s /api/%s%s HTTP/1.1\r\nHost: lab.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: %s\r\nX-Object: %s\r\nX-Expires-In: %du\r\n",
		method, class.Name, path, trace, class.Name, s.Tenants[a.Tenant].Name, a.Object, left.Microseconds())
	if s.RPCServers() {
		b.WriteString("Content-Type: application/msgpack\r\n")
	}
	if a.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", a.Key)
	}
	if try > 0 && s.Clients.Marks {
		b.WriteString("X-Second-Try: 1\r\n")
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

type clientAnswer struct {
	end    scenario.Ending
	judged judge.Answer
	after  time.Duration
	made   string
	closes bool
}

// mostAnswer bounds what a client reads of an answer.
const mostAnswer = 1 << 20

func readAnswer(in *bufio.Reader) (*clientAnswer, error) {
	if _, err := in.Peek(1); err != nil {
		if errors.Is(err, io.EOF) || strings.Contains(err.Error(), "reset") {
			return nil, errUnread
		}
		return nil, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
	if err != nil {
		return nil, err
	}
	a := &clientAnswer{end: scenario.Failed, judged: judge.Failed, closes: resp.Close}
	if resp.Header.Get("Content-Type") == "application/msgpack" {
		text := ""
		if err := msgpack.Unmarshal(body, &text); err != nil {
			return nil, err
		}
		body = []byte(text)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		made, _, _ := strings.Cut(string(body), " ")
		a.made = made
		if strings.HasSuffix(string(body), ".\n") { // else it is not whole, and the client can tell
			a.end, a.judged = scenario.Served, judge.Served
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		a.end, a.judged = scenario.Refused, judge.Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
			a.after = time.Duration(s * float64(time.Second))
		}
	}
	return a, nil
}

// get returns a kept connection on which nothing has come, or a new one.
func (p *callerPool) get(o Observer, clock Clock) (*callerConn, error) {
	p.mu.Lock()
	var c *callerConn
	if n := len(p.idle); n > 0 {
		c, p.idle = p.idle[n-1], p.idle[:n-1]
	}
	p.mu.Unlock()
	if c != nil {
		switch waiting(c.Conn) {
		case nothing:
			return c, nil
		case something: // it belongs to no request: an answer too many
			o.Extra(c.last, clock())
		}
		c.Close()
	}
	if p.away.Load() {
		return nil, errAway
	}
	conn, err := net.DialTimeout("tcp", p.addr, 2*time.Second)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	return &callerConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

func (p *callerPool) put(c *callerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *callerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// What waiting finds on a connection that nobody reads.
type found int

const (
	nothing found = iota
	something
	itsEnd
)

func waiting(c net.Conn) (state found) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return itsEnd
	}
	state = itsEnd
	raw.Control(func(fd uintptr) { // which fails on a closed one
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case err == syscall.EAGAIN:
			state = nothing
		case err == nil && n > 0:
			state = something
		}
	})
	return state
}

// Flood keeps connections open that say nothing, or send what is no request, until ctx ends.
func Flood(ctx context.Context, addr string, connections int) {
	flood(ctx, addr, connections, []string{
		"", // silent
		"\x16\x03\x01 no request\r\n\r\n",
		"GET /api HTTP/1.1\r\nX-Half: a req",
		"POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	})
}

// flood keeps connections open on which one of the texts is sent.
func flood(ctx context.Context, addr string, connections int, texts []string) {
	var tasks sync.WaitGroup
	for i := range connections {
		tasks.Go(func() {
			for ctx.Err() == nil {
				floodOnce(ctx, addr, texts[i%len(texts)])
				select {
				case <-time.After(20 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}
	tasks.Wait()
}

func floodOnce(ctx context.Context, addr, text string) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, text)
	io.Copy(io.Discard, io.LimitReader(c, mostAnswer))
}
