package updates

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/codec"
	"firplank/mesh/config"
	"firplank/mesh/configversion"
	"firplank/mesh/directory"
	"firplank/mesh/dissemination"
	"firplank/mesh/timing"
	"firplank/mesh/wire"
)

// recordingTexts records the versions to be interned, without sharing them.
// The lowest versions, and that there is none.
const (
	none   = configversion.None
	first  = none + 1
	second = first + 1
	third  = second + 1
)

type recordingTexts struct{ interned []configversion.Version }

func (*recordingTexts) Unpack(_ configversion.Version, packed []byte) ([]byte, error) {
	return config.Unpack(packed)
}

func (t *recordingTexts) Intern(version configversion.Version, text []byte) []byte {
	t.interned = append(t.interned, version)
	return text
}

// stateWith returns a state whose versions from the lowest one on have these texts.
func stateWith(texts ...string) *dissemination.Publisher {
	p := dissemination.NewPublisher(timing.Default().Dissemination)
	for i, text := range texts {
		p.SetConfig(configversion.Of(uint32(i)), []byte(text), nil, time.Second)
	}
	return p
}

// updateFor returns the update that p sends to a subscriber with presentVersion.
func updateFor(p *dissemination.Publisher, presentVersion configversion.Version) *wire.FrameT {
	p.Subscribe(99, presentVersion, time.Second)
	defer p.Unsubscribe(99)
	updates, _ := p.Tick(time.Second)
	return codec.UpdateToFrame(&updates[0], config.Pack(p.Text), time.Second)
}

func TestApplyConfig(t *testing.T) {
	two, three := stateWith("one", "two"), stateWith("one", "two", "three")
	corrupt := updateFor(two, none)
	corrupt.Value.Body = []byte("nothing that was packed")
	broken := updateFor(two, first)
	broken.Deltas[0].Bytes = broken.Deltas[0].Bytes[:1]
	for _, c := range []struct {
		name    string
		held    []string
		frame   *wire.FrameT
		newer   bool
		err     error
		version configversion.Version
		text    string
		intern  string
		asOf    time.Duration
	}{
		{"the first version", nil, updateFor(stateWith("one"), none), true, nil, first, "one", "[]", 4 * time.Second},
		{"a full text", []string{"one"}, updateFor(two, none), true, nil, second, "two", "[]", 4 * time.Second},
		{"a delta", []string{"one"}, updateFor(two, first), true, nil, second, "two", "[00000001]", 4 * time.Second},
		{"deltas over two versions", []string{"one"}, updateFor(three, first), true, nil, third, "three", "[00000002]", 4 * time.Second},
		{"deltas of earlier bases", []string{"one", "two"}, updateFor(three, first), true, nil, third, "three", "[00000002]", 4 * time.Second},
		{"a confirmation", []string{"one"}, updateFor(stateWith("one"), first), false, nil, first, "one", "[]", 4 * time.Second},
		{"the same text again", []string{"one"}, updateFor(stateWith("one"), none), false, nil, first, "one", "[]", 4 * time.Second},
		{"an older version", []string{"one", "two"}, updateFor(stateWith("one"), none), false, nil, second, "two", "[]", time.Second},
		{"a corrupt text", []string{"one"}, corrupt, true, ErrCorrupt, first, "one", "[]", time.Second},
		{"a delta with a different base text", []string{"uno"}, updateFor(two, first), true, ErrDeltaMismatch, first, "uno", "[]", time.Second},
		{"a delta with a later base version", []string{"one"}, updateFor(three, second), true, ErrDeltaMismatch, first, "one", "[]", time.Second},
		{"a truncated delta", []string{"one"}, broken, true, ErrDeltaMismatch, first, "one", "[]", time.Second},
	} {
		state, shared := stateWith(c.held...), &recordingTexts{}
		c.frame.AgeMs = 1000
		newer, err := ApplyConfig(state, shared, c.frame, 5*time.Second)
		if newer != c.newer || !errors.Is(err, c.err) || err != nil && c.err == nil {
			t.Errorf("%s: newer %v, %v", c.name, newer, err)
		}
		if state.Version != c.version || string(state.Text) != c.text || state.AsOf != c.asOf || fmt.Sprint(shared.interned) != c.intern {
			t.Errorf("%s: version %v, %q of %v, interned %v", c.name, state.Version, state.Text, state.AsOf, shared.interned)
		}
	}
}

func TestApplyEntries(t *testing.T) {
	d := directory.New()
	d.Merge(directory.Entry{Node: "n3", Incarnation: 1, Sequence: 1}, 0)
	entry := func(node string, lost bool) *wire.EntryT {
		return codec.EntryToWire(&directory.Entry{Node: node, Incarnation: 1, Sequence: 2, Lost: lost}, 0)
	}
	alive := codec.LivenessToWire(&directory.Entry{Node: "n4", Incarnation: 1}, 0)
	var own []string
	ApplyEntries(d, "n1", []*wire.EntryT{entry("n2", false), entry("n1", false), alive, entry("n3", true)}, func(e *directory.Entry) {
		own = append(own, fmt.Sprint(e.Node, " after ", d.Len()))
	}, time.Second)
	if fmt.Sprint(own) != "[n1 after 2]" {
		t.Errorf("own entries: %v", own)
	}
	if _, ok := d.Get("n1"); ok {
		t.Error("the sidecar's own entry was applied to the directory")
	}
	if _, ok := d.Get("n4"); ok {
		t.Error("a heartbeat was applied as an entry")
	}
	if e, _ := d.Get("n3"); !e.Lost {
		t.Error("the loss of a sidecar was not applied")
	}
	if _, ok := d.Get("n2"); !ok {
		t.Error("a new sidecar is missing")
	}
}

func TestUpdateWithoutControlMachinesKeepsTheList(t *testing.T) {
	state := stateWith()
	ApplyControlMachines(state, &wire.FrameT{Machines: []*wire.MachineT{{Addr: "c1:1"}, {Addr: "c2:1"}}}, time.Second)
	ApplyControlMachines(state, &wire.FrameT{}, time.Second)
	if len(state.ControlMachines) != 2 {
		t.Errorf("%+v", state.ControlMachines)
	}
	ApplyControlMachines(state, &wire.FrameT{Machines: []*wire.MachineT{{Addr: "c3:1"}}}, time.Second)
	if len(state.ControlMachines) != 1 || state.ControlMachines[0].Addr != "c3:1" {
		t.Errorf("%+v", state.ControlMachines)
	}
}
