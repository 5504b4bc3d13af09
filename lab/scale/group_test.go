package scale

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"

	"firplank/mesh/config"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

// fakeParent is a control machine that sends each child a configuration and records which children announce their server.
type fakeParent struct {
	body      []byte
	announced chan string
}

func (p *fakeParent) HandleFrame(c *transport.Conn, f *wire.FrameT) {
	switch {
	case f.Kind == wire.Subscribe:
		c.Send(&wire.FrameT{Kind: wire.Update, Version: new(uint32(1)), AgeMs: 1, Value: &wire.ValueT{Version: new(uint32(1)), Body: p.body}})
	case f.Kind == wire.Report && len(f.Entries) == 1 && f.Entries[0].ServerId != "":
		p.announced <- f.From
	}
}

func (*fakeParent) HandleClose(*transport.Conn) {}

// Three hollow sidecars become ready under a parent and are restarted. The test compares the counted frames and bytes with
// those that the parent sent and that the protocol requires.
func TestGroupOfHollowSidecars(t *testing.T) {
	p := testPlan()
	text, err := json.Marshal(p.document(1))
	if err != nil {
		t.Fatal(err)
	}
	parent := &fakeParent{config.Pack(text), make(chan string, 16)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()               // a listener has no buffered data
	go func() { _ = transport.Serve(ln, parent) }() // until the listener is closed
	spec := GroupSpec{StartsPerS: 1e6}
	for _, s := range p.hollows(p.Real + 3) {
		s.PeerAddr, s.Seeds = freeAddress(t), []string{ln.Addr().String()}
		spec.Sidecars = append(spec.Sidecars, s)
	}
	ask, end := runGroup(t, spec)
	for range spec.Sidecars {
		<-parent.announced
	}
	r := ask(Command{Do: Observe})
	if r.Sidecars != 3 || r.Ready != 3 || r.ControlChildren != 3 || len(r.Adoptions) != 3 || len(r.ReadyS) != 3 {
		t.Errorf("after the start: %+v", r)
	}
	news := find(r.Tallies, Tally{Link: ControlToChild, Kind: "News"})
	if news == nil || news.Frames != 3 || news.Sizes.Configuration != 3*int64(len(parent.body)) {
		t.Errorf("news: %+v", news)
	}
	if keep := find(r.Tallies, Tally{Link: ChildToControl, Kind: "Keep"}); keep == nil || keep.Frames < 3 || keep.Sizes.Entries == 0 {
		t.Errorf("heartbeats: %+v", keep)
	}
	again := len(ask(Command{Do: Restart, Share: 1}).ReadyS) // some may be ready again before the reply
	for range spec.Sidecars {
		<-parent.announced
	}
	if r = ask(Command{Do: Observe}); r.Ready != 3 || again+len(r.ReadyS) != 3 {
		t.Errorf("after the restart: %+v", r)
	}
	if err := end(); err != nil {
		t.Error(err)
	}
}

// runGroup runs a group. The function ask sends it a command and returns the reply, and end stops it.
func runGroup(t *testing.T, spec GroupSpec) (ask func(Command) Status, end func() error) {
	t.Helper()
	in, commands := io.Pipe()
	replies, out := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- RunGroup(context.Background(), in, out) }()
	send, receive := json.NewEncoder(commands), json.NewDecoder(replies)
	if err := send.Encode(spec); err != nil {
		t.Fatal(err)
	}
	ask = func(c Command) (s Status) {
		t.Helper()
		if err := send.Encode(c); err != nil {
			t.Fatal(err)
		}
		if err := receive.Decode(&s); err != nil {
			t.Fatal(err)
		}
		return s
	}
	end = func() error {
		if err := commands.Close(); err != nil {
			return err
		}
		return <-ended
	}
	return ask, end
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }() // a listener has no buffered data
	return ln.Addr().String()
}
