package scale

import (
	"slices"

	"firplank/mesh/codec"
	"firplank/mesh/wire"
)

// Link says between which roles a frame passes, and in which direction.
type Link string

// The links.
const (
	ControlToChild   Link = "control>child"
	ChildToControl   Link = "child>control"
	RelayToChild     Link = "relay>child"
	ChildToRelay     Link = "child>relay"
	ControlToControl Link = "control>control"
)

// Sizes are the bytes of a frame by what they are made of.
type Sizes struct {
	Header        int64 `json:"header"`        // the frame with its length, ages and version, without what follows
	Entries       int64 `json:"entries"`       // complete directory entries
	Alive         int64 `json:"alive"`         // entries that are only signs of life
	Machines      int64 `json:"machines"`      // the control machines with their ages
	Configuration int64 `json:"configuration"` // the configuration's text, packed, or differences of it
}

// Total is their sum.
func (s Sizes) Total() int64 { return s.Header + s.Entries + s.Alive + s.Machines + s.Configuration }

func (s *Sizes) add(o Sizes) {
	s.Header += o.Header
	s.Entries += o.Entries
	s.Alive += o.Alive
	s.Machines += o.Machines
	s.Configuration += o.Configuration
}

func (s *Sizes) subtract(o Sizes) {
	s.Header -= o.Header
	s.Entries -= o.Entries
	s.Alive -= o.Alive
	s.Machines -= o.Machines
	s.Configuration -= o.Configuration
}

// maxSampled bounds the entries of a kind that are encoded to find their size; those of a longer list count by the
// mean of so many, which differ in little but the length of names.
const maxSampled = 16

// Measure returns what a frame's bytes are made of. The total is exact for frames with up to sampled entries of each
// kind.
func Measure(f *wire.FrameT) Sizes {
	f = normalize(*f)
	bare := *f
	bare.Entries, bare.Machines, bare.Value, bare.Deltas = nil, nil, nil, nil
	s := Sizes{Header: encodedSize(&bare)}
	var complete, alive []*wire.EntryT
	for _, e := range f.Entries {
		if _, ok := codec.EntryFromWire(e, 0); ok {
			complete = append(complete, e)
		} else {
			alive = append(alive, e)
		}
	}
	base := s.Header
	s.Entries, s.Alive = entriesSize(bare, base, complete), entriesSize(bare, base, alive)
	if len(f.Machines) > 0 {
		with := bare
		with.Machines = f.Machines
		s.Machines = encodedSize(&with) - base
	}
	if f.Value != nil {
		s.Configuration = int64(len(f.Value.Body))
	}
	for _, d := range f.Deltas {
		s.Configuration += int64(len(d.Bytes))
	}
	if len(complete) <= maxSampled && len(alive) <= maxSampled { // what alignment and shared tables make of it
		s.Header += encodedSize(f) - s.Total()
	}
	return s
}

// normalize is a frame of the tree as it was before it was decoded: lists that it lacks come as empty ones, which
// would be encoded. Frames of the register, of which only the listener sees some, count without the members and
// records that a value holds.
func normalize(f wire.FrameT) *wire.FrameT {
	if len(f.Incarnations) == 0 {
		f.Incarnations = nil
	}
	if len(f.Deltas) == 0 {
		f.Deltas = nil
	}
	if len(f.Machines) == 0 {
		f.Machines = nil
	}
	if len(f.Entries) == 0 && f.Kind != wire.Update { // updates always have a list of entries
		f.Entries = nil
	}
	if len(f.Rollouts) == 0 {
		f.Rollouts = nil
	}
	f.Entries = normalizeEntries(f.Entries)
	if f.Value != nil { // of an update, which has a text alone
		f.Value = &wire.ValueT{Version: f.Value.Version, Body: f.Value.Body}
	}
	return &f
}

// normalizeEntries is the same for entries, of which those without statistics have none.
func normalizeEntries(entries []*wire.EntryT) []*wire.EntryT {
	normal := slices.Clone(entries)
	for i, e := range normal {
		if e.Statistics != nil && len(e.Statistics) == 0 {
			without := *e
			without.Statistics = nil
			normal[i] = &without
		}
	}
	return normal
}

func encodedSize(f *wire.FrameT) int64 { return int64(len(wire.Encode(f))) }

// entries is what entries add to a bare frame: the first of them, with a table of its fields, and each further one,
// which shares that.
func entriesSize(bare wire.FrameT, base int64, all []*wire.EntryT) int64 {
	if len(all) == 0 {
		return 0
	}
	some := all[:min(len(all), maxSampled)]
	bare.Entries = some
	sum := encodedSize(&bare) - base
	if len(all) == len(some) {
		return sum
	}
	bare.Entries = some[:1]
	first := encodedSize(&bare) - base
	return first + (sum-first)*int64(len(all)-1)/int64(len(some)-1)
}

// flow is what an account keeps apart.
type flowKey struct {
	link Link
	kind byte
}

// Tally is what has passed on a link in frames of one kind.
type Tally struct {
	Link   Link   `json:"link"`
	Kind   string `json:"kind"`
	Frames int64  `json:"frames"`
	Sizes  Sizes  `json:"bytes"`
}

// TrafficCounter counts frames by link and kind. It is not safe for concurrent use.
type TrafficCounter struct{ tallies map[flowKey]*Tally }

// NewTrafficCounter returns an empty account.
func NewTrafficCounter() *TrafficCounter { return &TrafficCounter{tallies: map[flowKey]*Tally{}} }

// Add counts a frame.
func (a *TrafficCounter) Add(link Link, kind byte, sizes Sizes) {
	t := a.tallies[flowKey{link, kind}]
	if t == nil {
		t = &Tally{Link: link, Kind: kindName(kind)}
		a.tallies[flowKey{link, kind}] = t
	}
	t.Frames++
	t.Sizes.add(sizes)
}

// Tallies returns copies of all, in no order.
func (a *TrafficCounter) Tallies() []Tally {
	all := make([]Tally, 0, len(a.tallies))
	for _, t := range a.tallies {
		all = append(all, *t)
	}
	return all
}

func kindName(kind byte) string {
	switch kind {
	case wire.Hello:
		return "Hello"
	case wire.Subscribe:
		return "Join"
	case wire.Report:
		return "Keep"
	case wire.Update:
		return "News"
	case wire.GoAway:
		return "Bye"
	case wire.InForce:
		return "InForce"
	}
	return "other"
}

// Sum adds up tallies of the same link and kind.
func Sum(lists ...[]Tally) []Tally {
	var out []Tally
	for _, list := range lists {
		for _, t := range list {
			if at := find(out, t); at != nil {
				at.Frames += t.Frames
				at.Sizes.add(t.Sizes)
			} else {
				out = append(out, t)
			}
		}
	}
	return out
}

// Since returns what has come to tallies after an earlier reading of them.
func Since(now, before []Tally) []Tally {
	out := Sum(now)
	for _, t := range before {
		if at := find(out, t); at != nil {
			at.Frames -= t.Frames
			at.Sizes.subtract(t.Sizes)
		}
	}
	return out
}

func find(all []Tally, like Tally) *Tally {
	for i := range all {
		if all[i].Link == like.Link && all[i].Kind == like.Kind {
			return &all[i]
		}
	}
	return nil
}
