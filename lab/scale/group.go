package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"firplank/mesh/config"
	"firplank/mesh/membership"
	"firplank/mesh/wire"
)

// CommandKind is what a group is to do.
type CommandKind string

// The orders. Each is answered by one reading.
const (
	Observe CommandKind = "observe"
	Restart CommandKind = "restart"
)

// GroupSpec is the first line that a group's process reads.
type GroupSpec struct {
	Sidecars   []Spec  `json:"sidecars"`
	StartsPerS float64 `json:"perS"` // how many of them start a second
}

// Command is each further line. The end of the input ends the process.
type Command struct {
	Do    CommandKind `json:"do"`
	Share float64     `json:"share"` // of Restart
}

// Adoption is when a sidecar has put an edition in force, in nanoseconds of Unix time.
type Adoption struct {
	Edition uint32 `json:"edition"`
	At      int64  `json:"at"`
}

// Status is what a group answers: what it is now, and what has passed since its start.
type Status struct {
	Sidecars        int        `json:"sidecars"`
	Ready           int        `json:"ready"`
	Relays          int        `json:"relays"`    // sidecars with children
	ControlChildren int        `json:"ofControl"` // whose parent is a control machine
	RelayChildren   int        `json:"ofRelay"`
	StaleParents    int        `json:"left"` // how often a parent was left as it had nothing fresh
	Tallies         []Tally    `json:"tallies"`
	Adoptions       []Adoption `json:"adoptions"` // since the last reading
	ReadyS          []float64  `json:"readyS"`    // from start to ready, since the last reading
}

// Group is many hollow sidecars in one process.
type Group struct {
	spec GroupSpec

	mu           sync.Mutex
	traffic      *TrafficCounter
	texts        map[uint32]*editionText
	members      []*member
	adoptions    []Adoption
	readyS       []float64
	staleParents int
}

// member is one sidecar through its restarts.
type member struct {
	spec   Spec
	hollow *Hollow
	stop   context.CancelFunc
	done   chan struct{}
}

// text is an edition of the configuration, which the sidecars of a process share: in truth each machine has memory of
// its own for it and a processor of its own to parse it.
type editionText struct {
	plain, packed                   []byte
	unpackOnce, packOnce, parseOnce sync.Once
	valid                           bool
}

// maxTexts bounds the editions that a group remembers.
const maxTexts = 64

// RunGroup reads a GroupSpec and orders from in and answers on out until in ends.
func RunGroup(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	lines, answers := json.NewDecoder(in), json.NewEncoder(out)
	g := &Group{traffic: NewTrafficCounter(), texts: map[uint32]*editionText{}}
	if err := lines.Decode(&g.spec); err != nil {
		stop()
		return fmt.Errorf("read the group: %w", err)
	}
	starting := make(chan error, 1)
	var start sync.WaitGroup
	start.Go(func() { starting <- g.startAll(ctx) })
	err := g.serve(ctx, lines, answers, starting)
	stop()
	start.Wait()
	g.wait()
	return err
}

func (g *Group) serve(ctx context.Context, lines *json.Decoder, answers *json.Encoder, starting <-chan error) error {
	for {
		var o Command
		if err := lines.Decode(&o); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("read an order: %w", err)
		}
		select {
		case err := <-starting:
			if err != nil {
				return err
			}
		default:
		}
		if o.Do == Restart {
			if err := g.restart(ctx, o.Share); err != nil {
				return err
			}
		}
		if err := answers.Encode(g.status()); err != nil {
			return fmt.Errorf("answer: %w", err)
		}
	}
}

func (g *Group) startAll(ctx context.Context) error {
	pause := time.Duration(float64(time.Second) / max(g.spec.StartsPerS, 1))
	for _, s := range g.spec.Sidecars {
		m := &member{spec: s}
		if err := g.start(ctx, m); err != nil {
			return err
		}
		g.mu.Lock()
		g.members = append(g.members, m)
		g.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// start starts a sidecar, for the first time or again.
func (g *Group) start(ctx context.Context, m *member) error {
	ln, err := net.Listen("tcp", m.spec.PeerAddr)
	if err != nil {
		return fmt.Errorf("start a hollow sidecar: %w", err)
	}
	probes, err := net.ListenPacket("udp", m.spec.PeerAddr)
	if err != nil {
		_ = ln.Close() // it has nothing to lose
		return fmt.Errorf("start a hollow sidecar: %w", err)
	}
	inner, stop := context.WithCancel(ctx)
	h, done := newHollow(inner, m.spec, g), make(chan struct{})
	g.mu.Lock()
	m.hollow, m.stop, m.done = h, stop, done
	g.mu.Unlock()
	go func() {
		defer close(done)
		var answering sync.WaitGroup
		answering.Go(func() { answerProbes(probes, m.spec.Node) })
		h.run(ln)
		_ = probes.Close() // a datagram socket has nothing to lose
		answering.Wait()
	}()
	return nil
}

// answerProbes answers the failure detectors of true sidecars; a hollow one has none itself.
func answerProbes(c net.PacketConn, node string) {
	buf := make([]byte, 1<<10)
	for {
		n, from, err := c.ReadFrom(buf)
		if err != nil {
			return
		}
		f, err := wire.Decode(append([]byte(nil), buf[:n]...))
		if err != nil || f.Kind != wire.Probe || membership.Kind(f.Incarnation) != membership.Ping {
			continue
		}
		_, _ = c.WriteTo(wire.EncodeDatagram(&wire.FrameT{Kind: wire.Probe, Incarnation: uint32(membership.Ack), From: node, Id: f.Id}), from)
	}
}

// restart ends a share of the sidecars at once, evenly over all, and starts them again.
func (g *Group) restart(ctx context.Context, share float64) error {
	g.mu.Lock()
	members := slices.Clone(g.members)
	g.mu.Unlock()
	var chosen []*member
	for i, m := range members {
		if int(float64(i+1)*share) > int(float64(i)*share) {
			chosen = append(chosen, m)
			m.stop()
		}
	}
	for _, m := range chosen {
		<-m.done
	}
	for _, m := range chosen {
		if err := g.start(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

func (g *Group) wait() {
	g.mu.Lock()
	members := slices.Clone(g.members)
	g.mu.Unlock()
	for _, m := range members {
		m.stop()
		<-m.done
	}
}

func (g *Group) status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := Status{Sidecars: len(g.members), StaleParents: g.staleParents, Tallies: g.traffic.Tallies(), Adoptions: g.adoptions, ReadyS: g.readyS}
	g.adoptions, g.readyS = nil, nil
	for _, m := range g.members {
		h := m.hollow
		if h.ready.Load() {
			r.Ready++
		}
		if h.subscribers.Load() > 0 {
			r.Relays++
		}
		if h.relayed.Load() {
			r.RelayChildren++
		} else {
			r.ControlChildren++
		}
	}
	return r
}

// count counts a frame that a sidecar of the group had from its parent, or sent to it.
func (g *Group) count(link Link, f *wire.FrameT) {
	sizes := Measure(f)
	g.mu.Lock()
	g.traffic.Add(link, f.Kind, sizes)
	g.mu.Unlock()
}

func (g *Group) editionText(edition uint32) *editionText {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.texts[edition]
	if t == nil {
		t = &editionText{}
		if len(g.texts) >= maxTexts {
			clear(g.texts)
		}
		g.texts[edition] = t
	}
	return t
}

// intern returns an edition's text as the group has it.
func (g *Group) intern(edition uint32, plain []byte) []byte {
	t := g.editionText(edition)
	t.unpackOnce.Do(func() { t.plain = plain })
	return t.plain
}

// unpack returns the text of an edition that has come packed; ok is false where it is broken.
func (g *Group) unpack(edition uint32, packed []byte) (plain []byte, ok bool) {
	t := g.editionText(edition)
	t.unpackOnce.Do(func() { t.plain, _ = config.Unpack(packed) })
	return t.plain, t.plain != nil
}

// pack returns an edition's text made short.
func (g *Group) pack(edition uint32, plain []byte) []byte {
	t := g.editionText(edition)
	t.packOnce.Do(func() { t.packed = config.Pack(plain) })
	return t.packed
}

// parse reports whether an edition can be used.
func (g *Group) parse(edition uint32, plain []byte) bool {
	t := g.editionText(edition)
	t.parseOnce.Do(func() {
		_, err := config.Parse(plain)
		t.valid = err == nil
	})
	return t.valid
}

// recordAdoption notes that an edition is in force at a sidecar.
func (g *Group) recordAdoption(h *Hollow, edition uint32, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adoptions = append(g.adoptions, Adoption{edition, at.UnixNano()})
	if !h.ready.Load() {
		g.readyS = append(g.readyS, time.Since(h.start).Seconds())
	}
}

// countParentLeft notes that a parent was left as it had nothing fresh.
func (g *Group) countStaleParent() {
	g.mu.Lock()
	g.staleParents++
	g.mu.Unlock()
}
