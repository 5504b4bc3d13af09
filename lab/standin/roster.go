package standin

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Entry is a server as the roster lists it.
type Entry struct {
	ID      string
	Addr    func(sidecar int) string
	Zone    string
	Kind    string
	Cell    int
	Size    float64
	UpSince time.Time // zero: long ago
}

// RosterConfig describes a stand-in roster.
type RosterConfig struct {
	Push         bool          // an agent beside each sidecar: it answers at once, with what it has been sent
	ChangeDelay  time.Duration // how late it knows of a change
	ServiceTime  time.Duration // how long a call takes it; calls are worked through in turn
	MaxQueueWait time.Duration // a call that has to wait longer in turn fails
	AlwaysFull   bool          // whole lists in place of changes
	Clock        Clock
	Observer     RosterObserver
}

// Roster is a stand-in for discovery. Each sidecar has an address of its own, so that it is told the addresses of its
// own links.
type Roster struct {
	cfg     RosterConfig
	addrs   []string
	servers []*http.Server

	mu             sync.Mutex
	revision       int64
	members        map[string]*listedEntry
	order          []string
	changed        chan struct{} // closed when something has changed
	down           bool
	extraDelay     time.Duration
	malformed      bool
	truncatedShare float64 // share of the answers that break off
	busyShare      float64 // share of the calls that are turned away ...
	busyDelay      time.Duration
	shareCount     int
	muted          chan struct{} // closed when the watches that are open fall silent
	idleAt         time.Duration // when the calls before are worked through
	calls          int
	tasks          sync.WaitGroup
	closed         chan struct{}
}

type listedEntry struct {
	Entry
	phase    string
	revision int64
}

// NewRoster starts a roster for a number of sidecars. Each has two addresses, of which Addr is the first and Other the
// one that a new configuration may name.
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
		r.tasks.Go(func() { _ = server.Serve(ln) }) // until Close, of which it says nothing else
	}
	return r, nil
}

// Addr is where a sidecar asks.
func (r *Roster) Addr(sidecar int) string { return r.addrs[sidecar] }

// Other is the sidecar's second address, with the same list.
func (r *Roster) SecondAddr(sidecar int) string { return r.addrs[len(r.addrs)/2+sidecar] }

// Set lists a server in a phase ("ready", "draining" or "gone") after the roster's delay.
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

// SetNow lists a server without delay, as at the start of a run.
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

// wake ends the waiting of watches. The caller holds mu.
func (r *Roster) wakeWatches() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Calls returns how many calls came.
func (r *Roster) Calls() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// Current returns the whole list for a sidecar.
func (r *Roster) Current(sidecar int) List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list(sidecar, -1)
}

// Close ends the roster and waits for all that it started.
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
