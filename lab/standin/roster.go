package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Entry is a server in the roster's list.
type Entry struct {
	ID      string
	Addr    func(sidecar int) string
	Zone    string
	Kind    string
	Cell    int
	Size    float64
	UpSince time.Time // zero: long ago, sent as 0
}

// RosterConfig configures a stand-in roster.
type RosterConfig struct {
	Push         bool          // acts as an agent beside each sidecar, which answers at once with its last list
	ChangeDelay  time.Duration // delay until it lists a change
	ServiceTime  time.Duration // per call; calls are handled one after the other
	MaxQueueWait time.Duration // calls that would queue for longer fail; 0: no bound
	AlwaysFull   bool          // sends complete lists instead of changes
	Clock        Clock
	Observer     RosterObserver
}

// Roster is a stand-in for the discovery service. Each sidecar calls it at an address of its own, so that each gets the
// servers' addresses of its own links.
type Roster struct {
	cfg     RosterConfig
	addrs   []string
	servers []*http.Server

	mu             sync.Mutex
	revision       int64
	members        map[string]*listedEntry
	order          []string
	changed        chan struct{} // closed at the next change, to wake watches
	down           bool
	extraDelay     time.Duration
	malformed      bool
	truncatedShare float64 // share of the responses that are truncated
	busyShare      float64 // share of the calls that are rejected
	busyDelay      time.Duration
	shareCount     int
	muted          chan struct{} // closed when the open watches stop responding
	idleAt         time.Duration // when all calls so far will have been handled
	calls          int
	tasks          sync.WaitGroup
	closed         chan struct{}
}

type listedEntry struct {
	Entry
	phase    string
	revision int64
}

// NewRoster starts a roster for a number of sidecars. Each has two addresses with the same list: Addr, and SecondAddr for a
// changed configuration.
func NewRoster(cfg RosterConfig, sidecars int) (*Roster, error) {
	r := &Roster{
		cfg: cfg, members: map[string]*listedEntry{}, changed: make(chan struct{}), muted: make(chan struct{}),
		closed: make(chan struct{}), revision: 40,
	}
	for i := range 2 * sidecars {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("roster: %w", err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serve(w, req, i%sidecars) })}
		r.addrs, r.servers = append(r.addrs, ln.Addr().String()), append(r.servers, server)
		r.tasks.Go(func() { _ = server.Serve(ln) }) // always returns an error after Close
	}
	return r, nil
}

// Addr returns the address at which a sidecar calls the roster.
func (r *Roster) Addr(sidecar int) string { return r.addrs[sidecar] }

// SecondAddr returns the sidecar's second address, which serves the same list.
func (r *Roster) SecondAddr(sidecar int) string { return r.addrs[len(r.addrs)/2+sidecar] }

// Set lists a server in a phase ("ready", "draining" or "gone") after RosterConfig.ChangeDelay.
func (r *Roster) Set(e Entry, phase string) {
	if r.cfg.ChangeDelay == 0 {
		r.apply(e, phase)
		return
	}
	r.tasks.Go(func() {
		select {
		case <-time.After(r.cfg.ChangeDelay):
			r.apply(e, phase)
		case <-r.closed:
		}
	})
}

// SetNow lists a server without delay, for the start of a run.
func (r *Roster) SetNow(e Entry, phase string) { r.apply(e, phase) }

func (r *Roster) apply(e Entry, phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.members[e.ID]; old == nil {
		r.order = append(r.order, e.ID)
	} else if old.phase == "gone" && phase == "gone" {
		return
	}
	r.revision++
	r.members[e.ID] = &listedEntry{e, phase, r.revision}
	r.cfg.Observer.Changed(e.ID, phase == "ready", r.cfg.Clock())
	r.wakeWatches()
}

// wakeWatches makes all open watches check for changes. The caller holds mu.
func (r *Roster) wakeWatches() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Calls returns the number of calls received.
func (r *Roster) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// Current returns the complete list for a sidecar.
func (r *Roster) Current(sidecar int) List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list(sidecar, -1)
}

// Close stops the roster and waits for its goroutines. Further calls are no-ops.
func (r *Roster) Close() {
	select {
	case <-r.closed:
		return
	default:
	}
	close(r.closed)
	for _, s := range r.servers {
		_ = s.Close() // serving ends either way
	}
	r.tasks.Wait()
}
