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
	"firplank/mesh/configversion"
	"firplank/mesh/membership"
	"firplank/mesh/wire"
)

// CommandKind is the kind of a command to a group.
type CommandKind string

// The kinds of commands. Each command is answered by one Status.
const (
	Observe CommandKind = "observe"
	Restart CommandKind = "restart"
)

// GroupSpec describes a group. It is the first JSON value that the process of the group reads.
type GroupSpec struct {
	Sidecars   []Spec  `json:"sidecars"`
	StartsPerS float64 `json:"perS"` // sidecars started per second
}

// Command is each further JSON value that the process reads. The process exits at the end of its input.
type Command struct {
	Do    CommandKind `json:"do"`
	Share float64     `json:"share"` // of the sidecars, for Restart
}

// Adoption records when a sidecar put an edition in force, in nanoseconds of Unix time.
type Adoption struct {
	Edition uint32 `json:"edition"`
	At      int64  `json:"at"`
}

// Status is a group's reply: its present state and the traffic since its start.
type Status struct {
	Sidecars        int        `json:"sidecars"`
	Ready           int        `json:"ready"`
	Relays          int        `json:"relays"`    // sidecars with children
	ControlChildren int        `json:"ofControl"` // whose parent is a control machine
	RelayChildren   int        `json:"ofRelay"`
	StaleParents    int        `json:"left"` // changes of parent because the parent was stale
	Tallies         []Tally    `json:"tallies"`
	Adoptions       []Adoption `json:"adoptions"` // since the last status
	ReadyS          []float64  `json:"readyS"`    // seconds from start to ready, since the last status
}

// Group runs many hollow sidecars in one process.
type Group struct {
	spec GroupSpec

	mu           sync.Mutex
	traffic      *TrafficCounter
	texts        map[configversion.Version]*editionText
	members      []*member
	adoptions    []Adoption
	readyS       []float64
	staleParents int
}

// member is one sidecar of a group, which is kept across its restarts.
type member struct {
	spec   Spec
	hollow *Hollow
	stop   context.CancelFunc
	done   chan struct{}
}

// editionText is an edition of the configuration, which the sidecars of a process share. In a real deployment each machine
// has its own memory for it and its own processor to parse it.
type editionText struct {
	plain, packed                   []byte
	unpackOnce, packOnce, parseOnce sync.Once
	valid                           bool
}

// maxTexts bounds the editions that a group caches.
const maxTexts = 64

// RunGroup reads a GroupSpec and commands from in and writes replies to out until in ends.
func RunGroup(ctx context.Context, in io.Reader, out io.Writer) error {
	ctx, stop := context.WithCancel(ctx)
	lines, answers := json.NewDecoder(in), json.NewEncoder(out)
	g := &Group{traffic: NewTrafficCounter(), texts: map[configversion.Version]*editionText{}}
	if err := lines.Decode(&g.spec); err != nil {
		stop()
		return fmt.Errorf("read group spec: %w", err)
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
			return fmt.Errorf("read command: %w", err)
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
			return fmt.Errorf("write status: %w", err)
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
		return fmt.Errorf("start hollow sidecar: %w", err)
	}
	probes, err := net.ListenPacket("udp", m.spec.PeerAddr)
	if err != nil {
		_ = ln.Close() // a listener has no buffered data
		return fmt.Errorf("start hollow sidecar: %w", err)
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
		_ = probes.Close() // a datagram socket has no buffered data
		answering.Wait()
	}()
	return nil
}

// answerProbes answers the pings of the failure detectors of real sidecars. Hollow sidecars have no failure detector.
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

// restart stops a share of the sidecars at once, evenly spread over all, and starts them again.
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

// count counts a frame that a sidecar of the group received from its parent or sent to it.
func (g *Group) count(link Link, f *wire.FrameT) {
	sizes := Measure(f)
	g.mu.Lock()
	g.traffic.Add(link, f.Kind, sizes)
	g.mu.Unlock()
}

func (g *Group) editionText(edition configversion.Version) *editionText {
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

// intern returns the group's shared copy of an edition's text.
func (g *Group) intern(edition configversion.Version, plain []byte) []byte {
	t := g.editionText(edition)
	t.unpackOnce.Do(func() { t.plain = plain })
	return t.plain
}

// unpack returns the text of an edition that was received compressed. It reports false if the text is corrupt.
func (g *Group) unpack(edition configversion.Version, packed []byte) (plain []byte, ok bool) {
	t := g.editionText(edition)
	t.unpackOnce.Do(func() { t.plain, _ = config.Unpack(packed) })
	return t.plain, t.plain != nil
}

// pack returns the compressed text of an edition.
func (g *Group) pack(edition configversion.Version, plain []byte) []byte {
	t := g.editionText(edition)
	t.packOnce.Do(func() { t.packed = config.Pack(plain) })
	return t.packed
}

// parse reports whether an edition is a valid configuration.
func (g *Group) parse(edition configversion.Version, plain []byte) bool {
	t := g.editionText(edition)
	t.parseOnce.Do(func() {
		_, err := config.ParseCommitted(plain)
		t.valid = err == nil
	})
	return t.valid
}

// recordAdoption records that a sidecar put an edition in force, and the time until it was ready if this is its first.
func (g *Group) recordAdoption(h *Hollow, edition configversion.Version, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.adoptions = append(g.adoptions, Adoption{edition.Number(), at.UnixNano()})
	if !h.ready.Load() {
		g.readyS = append(g.readyS, time.Since(h.start).Seconds())
	}
}

// countStaleParent counts a change of parent because the parent was stale.
func (g *Group) countStaleParent() {
	g.mu.Lock()
	g.staleParents++
	g.mu.Unlock()
}
