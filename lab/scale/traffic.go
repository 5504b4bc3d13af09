package scale

import (
	"slices"

	"firplank/mesh/codec"
	"firplank/mesh/wire"
)

// Link is a pair of roles between which frames are sent, and their direction.
type Link string

// The links.
const (
	ControlToChild   Link = "control>child"
	ChildToControl   Link = "child>control"
	RelayToChild     Link = "relay>child"
	ChildToRelay     Link = "child>relay"
	ControlToControl Link = "control>control"
)

// Sizes holds the bytes of a frame by content.
type Sizes struct {
	Header        int64 `json:"header"`        // the frame with its length, ages and version, without the fields below
	Entries       int64 `json:"entries"`       // complete directory entries
	Alive         int64 `json:"alive"`         // liveness entries
	Machines      int64 `json:"machines"`      // control machines with their ages
	Configuration int64 `json:"configuration"` // compressed text of the configuration, or deltas
}

// Total returns the size of the frame.
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

// maxSampled bounds the entries of a kind that are encoded to measure their size. Longer lists are extrapolated from the
// mean of that many entries, which differ in little but the length of names.
const maxSampled = 16

// Measure returns the bytes of a frame by content. The total is exact for frames with up to maxSampled entries of each kind.
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
	if len(complete) <= maxSampled && len(alive) <= maxSampled { // alignment and shared tables
		s.Header += encodedSize(f) - s.Total()
	}
	return s
}

// normalize returns a frame of the tree as it was before it was encoded: decoding turns absent lists into empty ones, which
// would be encoded. Frames of the register, some of which the listener receives, are counted without the members and
// records of a value.
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
	if len(f.Entries) == 0 && f.Kind != wire.Update { // updates always encode a list of entries
		f.Entries = nil
	}
	if len(f.Rollouts) == 0 {
		f.Rollouts = nil
	}
	f.Entries = normalizeEntries(f.Entries)
	if f.Value != nil { // the value of an update has a version and a text only
		f.Value = &wire.ValueT{Version: f.Value.Version, Body: f.Value.Body}
	}
	return &f
}

// normalizeEntries does the same for entries: an empty list of statistics becomes an absent one.
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

// entriesSize returns the bytes that entries add to a bare frame. The first entry includes a table of its fields, which
// the others share.
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

// flowKey is the key by which a TrafficCounter separates tallies.
type flowKey struct {
	link Link
	kind byte
}

// Tally is the traffic on a link in frames of one kind.
type Tally struct {
	Link   Link   `json:"link"`
	Kind   string `json:"kind"`
	Frames int64  `json:"frames"`
	Sizes  Sizes  `json:"bytes"`
}

// TrafficCounter counts frames by link and kind. It is not safe for concurrent use.
type TrafficCounter struct{ tallies map[flowKey]*Tally }

// NewTrafficCounter returns a counter without tallies.
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

// Tallies returns copies of all tallies, in no particular order.
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

// Sum returns the lists merged, with tallies of the same link and kind added up.
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

// Since returns the traffic counted in now but not in before, an earlier list of the same tallies.
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
