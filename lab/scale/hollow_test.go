package scale

import (
	"encoding/json"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"firplank/mesh/config"
	"firplank/mesh/transport"
	"firplank/mesh/wire"
)

// changingParent is a control machine that sends a subscriber version 1, then version 2 once version 1 is acknowledged, and
// nothing afterwards.
type changingParent struct{ bodies [2][]byte }

func (p *changingParent) HandleFrame(c *transport.Conn, f *wire.FrameT) {
	switch {
	case f.Kind == wire.Subscribe && f.Version == nil:
		p.send(c, 1)
	case f.Kind == wire.Report && f.Version != nil && *f.Version == 1:
		p.send(c, 2)
	}
}

func (p *changingParent) send(c *transport.Conn, version uint32) {
	value := &wire.ValueT{Version: &version, Body: p.bodies[version-1]}
	c.Send(&wire.FrameT{Kind: wire.Update, Version: &version, AgeMs: 1, Value: value})
}

func (*changingParent) HandleClose(*transport.Conn) {}

// A hollow sidecar puts each version in force and leaves a parent that has stopped sending. Both are counted.
func TestHollowSidecarFollowsChangesAndLeavesAStaleParent(t *testing.T) {
	p := testPlan()
	parent := &changingParent{}
	for i := range parent.bodies {
		text, err := json.Marshal(p.document(uint32(i + 1)))
		if err != nil {
			t.Fatal(err)
		}
		parent.bodies[i] = config.Pack(text)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = transport.Serve(ln, parent) }) // until the listener is closed
	defer serving.Wait()
	defer func() { _ = ln.Close() }() // a listener has no buffered data
	spec := p.hollows(p.Real + 1)[0]
	spec.PeerAddr, spec.Seeds = freeAddress(t), []string{ln.Addr().String()}
	ask, end := runGroup(t, GroupSpec{StartsPerS: 1e6, Sidecars: []Spec{spec}})
	var versions []uint32
	left := 0
	for until := time.Now().Add(10 * time.Second); left == 0 && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		s := ask(Command{Do: Observe})
		for _, a := range s.Adoptions {
			versions = append(versions, a.Edition)
		}
		left = s.StaleParents
	}
	if !slices.Equal(versions, []uint32{1, 2}) || left == 0 {
		t.Errorf("put in force %v, left its parent %d times", versions, left)
	}
	if err := end(); err != nil {
		t.Error(err)
	}
}
