package catchup

import (
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/storage"
)

// Defect is a mistake planted around the shipped parts, as if the store, the start or the register made it.
type Defect int

// The defects.
const (
	// NoDefect: the parts as they are shipped.
	NoDefect Defect = iota
	// EarlyOutput: what rests on a state leaves before it is synced.
	EarlyOutput
	// StaleState: a start finds the state of some writes before.
	StaleState
	// StaleValue: a start finds the ballots, with the value of some writes before.
	StaleValue
	// LostPromise: a start finds the value, and no later promise.
	LostPromise
	// VotesWithoutRejoin: a disk that lost everything votes without a rejoin.
	VotesWithoutRejoin
	// PublishesDiskState: a machine publishes what its disk holds as the newest.
	PublishesDiskState
	// WithheldValues: replies carry no value to a machine that has an older one, nor do commits.
	WithheldValues
	// RepeatedValues: what carries a value is sent five times.
	RepeatedValues
)

// Planted are the defects that a search in Small runs looks for. Those that it isn't known to find are found by
// lab/explore/register.
var PlantedDefects = []struct {
	Name   string
	Defect Defect
	Found  bool
}{
	{"answers leave before the disk has synced", EarlyOutput, true},
	{"a start finds the state of some writes before", StaleState, true},
	{"a start finds ballots with an older value", StaleValue, true},
	{"a machine hands out what its disk holds as the newest", PublishesDiskState, true},
	{"a machine that was away is sent no values", WithheldValues, true},
	{"what carries a value is sent five times", RepeatedValues, true},
	{"a start has forgotten a promise", LostPromise, false},
	{"a disk that lost everything votes at once", VotesWithoutRejoin, false},
}

// repeats is how often RepeatedValues sends a message.
const repeats = 5

// Search plays runs until one breaks, and returns its seed and how.
func Search(p Plan, from, runs uint64) (seed uint64, r Result) {
	for seed = from; seed < from+runs; seed++ {
		if r = Run(p, seed); r.Breach != nil {
			return seed, r
		}
	}
	return seed, r
}

// alterRecovery alters what a start recovers, and returns whether the replica votes without a rejoin.
func (d Defect) alterRecovery(m *machine, recovered *storage.Recovered, mayVote bool) bool {
	if recovered.State == nil {
		return mayVote || d == VotesWithoutRejoin
	}
	if len(m.earlier) == 0 {
		return mayVote
	}
	earlier := m.earlier[0]
	state := *recovered.State
	switch d {
	case StaleState:
		state = earlier
	case StaleValue:
		state.Value = earlier.Value
	case LostPromise:
		state.Promised = state.Accepted
	}
	recovered.State = &state
	return mayVote
}

// atStart lets a machine publish too early.
func (d Defect) publishEarly(m *machine, onDisk *register.State) {
	if d == PublishesDiskState && onDisk != nil && onDisk.Value.Version > 0 {
		m.history.inForce(m.name, onDisk.Value.Version, onDisk.Value.Body, m.now, m.now)
	}
}

// writing lets a write count as synced when it begins.
func (d Defect) completeWriteEarly(m *machine, w persist.Write) {
	if d == EarlyOutput {
		m.pipeline.WriteCompleted(m.now, w.Number, nil)
	}
}

// copies is how often a message is sent over a link that neither loses nor duplicates it.
func (d Defect) copies(msg *register.Message) int {
	if d == RepeatedValues && msg.Value != nil {
		return repeats
	}
	return 1
}

// drops alters a message, and reports whether it is dropped.
func (d Defect) drops(m *machine, msg *register.Message) bool {
	if d != WithheldValues {
		return false
	}
	if msg.Kind != register.Accept {
		msg.Value = nil
		return false
	}
	return m.absent != nil && msg.To == m.absent.name
}
