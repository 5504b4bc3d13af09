// Package roster reads the list of servers that a deployment's discovery gives, and follows it. It owns the wire form of
// the list, its checks, and when to ask again; what a change means is for the exchange, which it tells through Events.
// Begin with Follower.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"cedararch/balance"
)

const (
	// A watch is held for leastHold and a random part of a spread that grows with the fleet, from leastSpread to mostSpread:
	// sidecars whose watches begin together must not all call again together, or discovery, which takes the work of all calls in turn,
	// answers none in time. One that has gone silent, on a connection that stays open, is noticed only after that.
	leastHold   = 3 * time.Second
	spreadEach  = 50 * time.Millisecond // for each sidecar
	leastSpread = time.Second
	mostSpread  = 4 * time.Second
	// What there was to tell counts as told two seconds after the hold of the last call, also where nothing came or the call failed.
	// A silent watch is given up, and made again, before that. A call after a failed one asks for a longer hold, as the next one
	// may have to wait longer.
	watchSpare  = 1200 * time.Millisecond
	silentPause = 600 * time.Millisecond
	longHold    = 8 * time.Second
	mostSilence = 500 * time.Millisecond // within an answer
	dueWithin   = 6 * time.Second        // the news of an answer that can't be read count as told by then
	mostHurried = 3                      // calls in that time: a discovery that comes back has those of all sidecars
	callTimeout = 5 * time.Second        // of a call for the whole list
	maxList     = 4 << 20
	leastGap    = 100 * time.Millisecond // between calls that bring nothing new; a watch ends after 200
	pushPause   = 100 * time.Millisecond // before a failed call that nobody asks for is made again; doubles each time
	mostDoubled = 3                      // so often at most: a new address is heard within a second of its coming up
)

// List is a list of servers, or of those that changed, in discovery's form.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is a server in the list.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  float64 `json:"up_since_ms"`
}

// State is what the list says of the member, which passed the check.
func (m *Member) State() balance.State { return phases[m.Phase] }

var phases = map[string]balance.State{"ready": balance.Ready, "draining": balance.Draining, "gone": balance.Gone}

// Check rejects a list as a whole: one entry skipped could be a drain missed.
func (l *List) Check() error {
	for _, m := range l.Members {
		if m.ID == "" {
			return fmt.Errorf("a member without id")
		}
		state, ok := phases[m.Phase]
		if !ok {
			return fmt.Errorf("member %q: unknown phase %q", m.ID, m.Phase)
		}
		if _, _, err := net.SplitHostPort(m.HostPort); err != nil && state != balance.Gone {
			return fmt.Errorf("member %q: %w", m.ID, err)
		}
	}
	return nil
}

// Events is who is told of the list.
type Events interface {
	Listed(*List)
	ListFailed(error)
}

// Config says whom to ask and what is known already.
type Config struct {
	Addr   string
	Pushed bool  // the address is an agent that has the list sent to it
	Known  *List // as last listed

	Sidecars int // that ask the same discovery; 0: not known
}

// Follower follows the list of servers.
type Follower struct {
	client   *http.Client
	pushed   bool          // the address is an agent that has the list sent to it
	asked    chan struct{} // the module wants a watch
	events   Events
	revision int64         // of the list held
	held     bool          // a list is held, of this revision; it may be 0
	failing  bool          // the last call failed
	spread   time.Duration // of holds

	mu   sync.Mutex
	addr string
	cut  context.CancelFunc // ends what is asked of addr; nil before run
}

// New returns a follower that has asked nothing yet.
func New(cfg Config, events Events) *Follower {
	return &Follower{
		addr:     cfg.Addr,
		client:   &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, MaxIdleConns: 1}},
		held:     cfg.Known.Complete,
		spread:   max(leastSpread, min(mostSpread, time.Duration(cfg.Sidecars)*spreadEach)),
		revision: cfg.Known.Revision,
		pushed:   cfg.Pushed,
		asked:    make(chan struct{}, 1),
		events:   events,
	}
}

// Watch asks for a watch; where one is on or asked for already there is nothing to do.
func (d *Follower) Watch() {
	select {
	case d.asked <- struct{}{}:
	default:
	}
}

// Move turns to another address at once: what the old one still says is dropped.
func (d *Follower) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == d.addr {
		return
	}
	d.addr = addr
	if d.cut != nil {
		d.cut()
	}
}

// settle returns the present address and a context that ends when it changes.
func (d *Follower) settle(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut != nil {
		d.cut()
	}
	ctx, d.cut = context.WithCancel(ctx)
	return ctx, d.addr
}

// Run follows the list until ctx ends.
func (d *Follower) Run(ctx context.Context) {
	at, addr := d.settle(ctx)
	for moved := false; ; moved = true {
		d.stay(at, addr, moved)
		d.client.CloseIdleConnections()
		if ctx.Err() != nil {
			d.cut()
			return
		}
		// Revisions are each address's own, so that the next one has to tell its whole list first.
		d.held = false
		at, addr = d.settle(ctx)
	}
}

// stay follows the list at one address until ctx ends. Where discovery is asked, the module says when, except
// that after a move it is asked until it has answered: the module knows of no failure then, and would wait for
// long after earlier ones. An agent is followed from the start.
func (d *Follower) stay(ctx context.Context, addr string, moved bool) {
	for failed := 0; ctx.Err() == nil; {
		eager := d.pushed || moved && !d.held
		if !eager {
			select {
			case <-d.asked:
			case <-ctx.Done():
				return
			}
		}
		if d.follow(ctx, addr) {
			failed = 0
		}
		if eager {
			sleep(ctx, pause(failed))
			failed = min(failed+1, mostDoubled)
		}
	}
}

// follow keeps a watch going until a call fails, and reports whether any went well.
func (d *Follower) follow(ctx context.Context, addr string) (went bool) {
	for {
		start := time.Now()
		l, err := d.call(ctx, addr)
		if err != nil && ctx.Err() == nil && !d.failing {
			d.failing = true
			l, err = d.hurry(ctx, addr, err)
		}
		d.failing = err != nil
		if ctx.Err() != nil {
			return went
		}
		if err != nil {
			d.events.ListFailed(err)
			return went
		}
		news := !d.held || l.Revision != d.revision
		went, d.held, d.revision = true, true, l.Revision
		d.events.Listed(l)
		if !news { // an agent may answer at once each time
			sleep(ctx, leastGap-time.Since(start))
		}
	}
}

// call waits for what is newer than the list held, or gets the whole list where none is held.
func (d *Follower) call(ctx context.Context, addr string) (*List, error) {
	if !d.held {
		return d.get(ctx, addr, nil, callTimeout)
	}
	hold := leastHold + rand.N(d.spread)
	if d.failing {
		hold = longHold
	}
	l, err := d.get(ctx, addr, url.Values{
		"from":    {strconv.FormatInt(d.revision, 10)},
		"hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)},
	}, hold+watchSpare)
	if err == nil && !l.Complete && l.Revision < d.revision {
		// Changes to an older list than the one held: discovery has lost its place, and only a whole list helps.
		return d.get(ctx, addr, nil, callTimeout)
	}
	return l, err
}

func (d *Follower) get(ctx context.Context, addr string, query url.Values, timeout time.Duration) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// From the first byte of the answer on, each next one has to come soon: what stops short of its end has been told.
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	silence := time.AfterFunc(2*timeout, func() { stop(errStopped) }) // a call without any answer ends by its time-out before
	defer silence.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { silence.Reset(mostSilence) },
	})
	l, err := d.fetch(ctx, addr, query, func() { silence.Reset(mostSilence) })
	if err != nil && context.Cause(ctx) == errStopped {
		err = fmt.Errorf("discovery: %w", errStopped)
	}
	return l, err
}

// errStopped is an answer that was begun and does not go on.
var errStopped = errors.New("the answer has stopped short of its end")

// heardReader calls on with each piece that is read.
type heardReader struct {
	from io.Reader
	on   func()
}

func (h heardReader) Read(b []byte) (int, error) {
	n, err := h.from.Read(b)
	if n > 0 {
		h.on()
	}
	return n, err
}

// fetch makes a call and reads its answer, of which it says when something comes.
func (d *Follower) fetch(ctx context.Context, addr string, query url.Values, came func()) (*List, error) {
	target := url.URL{Scheme: "http", Host: addr, Path: "/discovery/hosts", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(heardReader{resp.Body, came}, maxList))
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: %s", errStatus, resp.Status)
	}
	l := &List{}
	if err := json.Unmarshal(body, l); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if err := l.Check(); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return l, nil
}

// hurry calls again after a call that has failed so that what it was to tell counts as told soon, and may be a drain:
// a watch that fell silent, or an answer that can't be read. Of the latter there are few at a time, and they ask until their news are due; after the former, which may befall a whole fleet, one call has to do. Not for the whole list: that would be a call more, before the watch.
func (d *Follower) hurry(ctx context.Context, addr string, failed error) (l *List, err error) {
	due := time.Now().Add(dueWithin)
	switch {
	case errors.Is(failed, context.DeadlineExceeded):
		sleep(ctx, rand.N(silentPause))
		due = time.Now()
	case !spoilt(failed):
		return nil, failed
	}
	for range mostHurried {
		if l, err = d.call(ctx, addr); err == nil || ctx.Err() != nil || !time.Now().Before(due) {
			break
		}
		sleep(ctx, rand.N(leastGap))
	}
	return l, err
}

// errStatus is an answer of discovery that holds no list.
var errStatus = errors.New("discovery")

// spoilt reports whether discovery has begun to answer, or has been cut off from it, in place of failing the call. A connection that
// is reset in a watch may have carried news that never came.
func spoilt(err error) bool {
	var network *net.OpError
	down := errors.As(err, &network) && network.Op == "dial"
	return !down && !errors.Is(err, errStatus) && !errors.Is(err, context.DeadlineExceeded)
}

// pause is the wait before the next call that nobody asks for, longer after each failure and never as long as others'.
func pause(failed int) time.Duration {
	most := pushPause << failed
	return most/2 + rand.N(most/2)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
