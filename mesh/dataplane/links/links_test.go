package links

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"firplank/mesh/config"
	"firplank/mesh/configversion"
	"firplank/mesh/dataplane/distribution"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// host adopts every configuration.
type host struct{}

func (host) Unpack(_ configversion.Version, packed []byte) ([]byte, error) {
	return config.Unpack(packed)
}
func (host) Intern(_ configversion.Version, text []byte) []byte                  { return text }
func (host) Pack(_ configversion.Version, text []byte) []byte                    { return config.Pack(text) }
func (host) Adopt(version configversion.Version, _ []byte) configversion.Version { return version }
func (host) DescribeServer(*directory.Entry)                                     {}
func (host) RestoreServer(time.Duration, *directory.Entry)                       {}
func (host) IncarnationChanged(uint64)                                           {}
func (host) TombstoneRecorded(time.Duration, string)                             {}
func (host) TombstonesFetched([]string) bool                                     { return false }
func (host) BecameReady(time.Duration)                                           {}

// fakeControlMachine records received frames and ended connections.
type fakeControlMachine struct {
	frames chan *wire.FrameT
	closed chan struct{}
	conns  chan *transport.Conn
}

func (m *fakeControlMachine) HandleFrame(c *transport.Conn, f *wire.FrameT) {
	m.conns <- c
	m.frames <- f
}

func (m *fakeControlMachine) HandleClose(*transport.Conn) { m.closed <- struct{}{} }

// fixture is a Links whose node has a fakeControlMachine as its only seed.
type fixture struct {
	*Links
	controlMachine *fakeControlMachine
	events         chan distribution.Event
	actions        []distribution.Action
	stop           func()
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{
		controlMachine: &fakeControlMachine{make(chan *wire.FrameT, 8), make(chan struct{}, 8), make(chan *transport.Conn, 8)},
		events:         make(chan distribution.Event, 8),
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = transport.Serve(ln, f.controlMachine) }) // until the listener is closed
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

// receive returns the next value of a channel. It fails the test if there is none within 10 s.
func receive[T any](t *testing.T, ch <-chan T, expected string) (got T) {
	t.Helper()
	select {
	case got = <-ch:
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: not received within 10 s", expected)
	}
	return got
}

func TestNodeExchangesFramesWithItsParent(t *testing.T) {
	f := newFixture(t)
	f.Maintain(0)
	f.Handle(0, receive(t, f.events, "the dialed parent"))
	if got := receive(t, f.controlMachine.frames, "the subscription"); got.Kind != wire.Subscribe || got.From != "n1" {
		t.Errorf("sent %+v", got)
	}
	c := receive(t, f.controlMachine.conns, "its connection")
	c.Send(&wire.FrameT{Kind: wire.GoAway})
	f.Handle(time.Millisecond, receive(t, f.events, "the GoAway frame"))
	receive(t, f.controlMachine.closed, "the end of the connection")
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
	if e, ok := receive(t, f.events, "the failure").(distribution.ParentDialed); !ok || e.Err == nil || e.Conn != nil {
		t.Errorf("reported %+v", e)
	}
	f.stop()
	f.Close()
}

// Close must close the parent's connection, and also a connection whose ParentDialed event was not handled any more.
// Otherwise it leaks.
func TestCloseLeavesNoConnection(t *testing.T) {
	for _, delivered := range []bool{true, false} {
		f := newFixture(t)
		f.Maintain(0)
		if e := receive(t, f.events, "the dialed parent"); delivered {
			f.Handle(0, e)
			receive(t, f.controlMachine.frames, "the subscription")
		}
		f.stop()
		f.Close()
		receive(t, f.controlMachine.closed, "the end of the connection")
	}
}
