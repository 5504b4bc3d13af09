package catchup

import (
	"firplank/mesh/persist"
	"firplank/mesh/register"
	"firplank/mesh/storage"
)

// Defect is a mistake that the simulation makes as if the store, the recovery or the register made it.
type Defect int

// The defects.
const (
	// NoDefect runs the shipped code.
	NoDefect Defect = iota
	// EarlyOutput: replies that depend on a state are sent before the state is synced.
	EarlyOutput
	// StaleState: a start recovers the state of an earlier write.
	StaleState
	// StaleValue: a start recovers the current ballots with the value of an earlier write.
	StaleValue
	// LostPromise: a start recovers the value but no later promise.
	LostPromise
	// VotesWithoutRejoin: a machine that lost its disk votes without rejoining.
	VotesWithoutRejoin
	// PublishesDiskState: a machine publishes the value on its disk as the newest.
	PublishesDiskState
	// WithheldValues: replies and commits carry no value to a machine that has an older one.
	WithheldValues
	// RepeatedValues: messages with a value are sent five times.
	RepeatedValues
)

// PlantedDefects are the defects that a search with Small runs looks for. The searches of lab/explore/register find those
// with Found false.
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

// Search simulates runs until one has a breach, and returns its seed and result.
func Search(p Plan, from, runs uint64) (seed uint64, r Result) {
	for seed = from; seed < from+runs; seed++ {
		if r = Run(p, seed); r.Breach != nil {
			return seed, r
		}
	}
	return seed, r
}

// alterRecovery alters the recovered state and returns whether the replica votes without rejoining.
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

// publishEarly publishes the value on the disk at the start, for PublishesDiskState.
func (d Defect) publishEarly(m *machine, onDisk *register.State) {
	if d == PublishesDiskState && onDisk != nil && onDisk.Value.Version > 0 {
		m.history.inForce(m.name, onDisk.Value.Version, onDisk.Value.Body, m.now, m.now)
	}
}

// completeWriteEarly reports a write as synced when it begins, for EarlyOutput.
func (d Defect) completeWriteEarly(m *machine, w persist.Write) {
	if d == EarlyOutput {
		m.pipeline.WriteCompleted(m.now, w.Number, nil)
	}
}

// copies returns how often a message is sent, apart from loss and duplication by the link.
func (d Defect) copies(msg *register.Message) int {
	if d == RepeatedValues && msg.Value != nil {
		return repeats
	}
	return 1
}

// drops alters a message and reports whether it is dropped, for WithheldValues.
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
