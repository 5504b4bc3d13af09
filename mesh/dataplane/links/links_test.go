package links

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"firplank/mesh/config"
	"firplank/mesh/dataplane/distribution"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// host takes up every configuration.
type host struct{}

func (host) Unpack(_ uint32, packed []byte) ([]byte, error) { return config.Unpack(packed) }
func (host) Intern(_ uint32, text []byte) []byte            { return text }
func (host) Pack(_ uint32, text []byte) []byte              { return config.Pack(text) }
func (host) Adopt(version uint32, _ []byte) uint32          { return version }
func (host) DescribeServer(*directory.Entry)                {}
func (host) RestoreServer(time.Duration, *directory.Entry)  {}
func (host) IncarnationChanged(uint64)                      {}
func (host) BecameReady(time.Duration)                      {}

// peer is a control machine that notes the frames that come and the connections that end.
type peer struct {
	frames chan *wire.FrameT
	closed chan struct{}
	conns  chan *transport.Conn
}

func (p *peer) HandleFrame(c *transport.Conn, f *wire.FrameT) {
	p.conns <- c
	p.frames <- f
}

func (p *peer) HandleClose(*transport.Conn) { p.closed <- struct{}{} }

// fixture is the links of a node with a peer as its only control machine.
type fixture struct {
	*Links
	peer    *peer
	events  chan distribution.Event
	actions []distribution.Action
	stop    func()
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{
		peer:   &peer{make(chan *wire.FrameT, 8), make(chan struct{}, 8), make(chan *transport.Conn, 8)},
		events: make(chan distribution.Event, 8),
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = transport.Serve(ln, f.peer) }) // until the listener is closed
	ctx, stop := context.WithCancel(t.Context())
	f.stop = stop
	t.Cleanup(func() {
		stop()
		_ = ln.Close()
		serving.Wait()
	})
	policy := dissemination.NewSubscriber("n1", "x", timing.Default().Dissemination, 0)
	policy.Seeds = []string{ln.Addr().String()}
	node := distribution.New(directory.Entry{Node: "n1", Incarnation: 1, Sequence: 1}, policy, host{}, timing.Default())
	post := func(e distribution.Event) bool {
		select {
		case f.events <- e:
			return true
		case <-ctx.Done():
			return false
		}
	}
	f.Links = New(ctx, node, post, func(a distribution.Action) { f.actions = append(f.actions, a) })
	return f
}

// wait fails a test where nothing comes.
func wait[T any](t *testing.T, from <-chan T, what string) (got T) {
	t.Helper()
	select {
	case got = <-from:
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: nothing came", what)
	}
	return got
}

func TestNodeTalksOverItsLinks(t *testing.T) {
	f := newFixture(t)
	f.Maintain(0)
	f.Handle(0, wait(t, f.events, "the dialed parent"))
	if got := wait(t, f.peer.frames, "the subscription"); got.Kind != wire.Subscribe || got.From != "n1" {
		t.Errorf("sent %+v", got)
	}
	c := wait(t, f.peer.conns, "its connection")
	c.Send(&wire.FrameT{Kind: wire.GoAway})
	f.Handle(time.Millisecond, wait(t, f.events, "the dismissal"))
	wait(t, f.peer.closed, "the end of the connection")
	if len(f.actions) != 3 {
		t.Errorf("observed %+v", f.actions)
	}
	f.stop()
	f.Close()
}

func TestUnreachableParentIsReported(t *testing.T) {
	f := newFixture(t)
	f.node.SetSeeds([]string{"127.0.0.1:1"})
	f.Maintain(0)
	if e, ok := wait(t, f.events, "the failure").(distribution.ParentDialed); !ok || e.Err == nil || e.Conn != nil {
		t.Errorf("reported %+v", e)
	}
	f.stop()
	f.Close()
}

// What is open at the end is closed: a parent's connection, and one that was dialed last.
func TestCloseLeavesNoConnection(t *testing.T) {
	for _, delivered := range []bool{true, false} {
		f := newFixture(t)
		f.Maintain(0)
		if e := wait(t, f.events, "the dialed parent"); delivered {
			f.Handle(0, e)
			wait(t, f.peer.frames, "the subscription")
		}
		f.stop()
		f.Close()
		wait(t, f.peer.closed, "the end of the connection")
	}
}
