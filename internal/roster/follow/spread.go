package follow

import "time"

// The calls of a whole fleet are spread by the sidecars' numbers: of N sidecars that begin a pause in the same instant each has a place of
// its own in it, so that in any part of the pause there are as many as its part of N, and one more. The places of the next pause are the
// same, turned by the golden section.
const (
	leastProof = 4 * time.Second // between a list and its proof
	mostProof  = 5 * time.Second // more, by the fleet's size and the place
	proofEach  = 50 * time.Millisecond

	firstEach = 50 * time.Millisecond // of the first calls of a fleet that starts together, for each sidecar
	mostFirst = 4 * time.Second

	fewSidecars = 20 // may all ask at once
	againBase   = 500 * time.Millisecond
	againEach   = 50 * time.Millisecond // for each sidecar beyond few; doubles with each failure
	mostDoubled = 4
	askLeast    = 0.33 // of the limit for asking that a pause takes at most, with few sidecars
	askMost     = 0.7  // ... and with many
	manyPeers   = 100

	pushPause  = 100 * time.Millisecond // where no one else asks; doubles
	pushDouble = 3

	hurryEach  = 4 * time.Millisecond // between an answer that was spoilt and the next call, for each sidecar
	mostHurry  = 1200 * time.Millisecond
	hurryAgain = 250 * time.Millisecond // ... at least, when that was spoilt, too
	golden     = 0.6180339887498949
)

type spread struct {
	place    float64 // 0 to 1
	sidecars float64
	pushed   bool
	ask      time.Duration
	turns    int
}

func newSpread(cfg Config) spread {
	n := max(1, cfg.Sidecars)
	if cfg.Pushed { // the agent is this sidecar's alone
		n = 1
	}
	return spread{
		place: (float64(max(0, cfg.Number)%n) + 0.5) / float64(n), sidecars: float64(n), pushed: cfg.Pushed, ask: cfg.AskWithin,
	}
}

// at returns this sidecar's place after so many turns.
func (s *spread) at(turns int) float64 {
	x := s.place + float64(turns)*golden
	return x - float64(int(x))
}

func part(d time.Duration, of float64) time.Duration { return time.Duration(float64(d) * of) }

// first is the pause before the first call of a sidecar.
func (s *spread) first() time.Duration {
	if s.pushed || s.sidecars < fewSidecars {
		return 0
	}
	return part(min(part(firstEach, s.sidecars), mostFirst), s.place)
}

// proof is the pause between an answer and the proof that follows.
func (s *spread) proof() time.Duration {
	s.turns++
	return leastProof + part(max(time.Second, min(mostProof, part(proofEach, s.sidecars))), s.at(s.turns))
}

// again is the pause after so many calls that failed and told nothing.
func (s *spread) again(fails int, moved bool) time.Duration {
	if s.pushed || moved {
		pause := pushPause << min(fails, pushDouble)
		return pause/2 + part(pause/2, s.at(fails))
	}
	pause := againBase + part(againEach, max(0, s.sidecars-fewSidecars))
	pause <<= min(fails, mostDoubled)
	pause = min(pause, part(s.ask, max(askLeast, min(askMost, s.sidecars/manyPeers))))
	least := 0.5
	if s.sidecars >= fewSidecars {
		least = 0.1
	}
	return part(pause, least+(1-least)*s.at(fails))
}

// hurry is the pause before a call that makes good a spoilt answer.
func (s *spread) hurry(fails int) time.Duration {
	wait := part(min(part(hurryEach, s.sidecars), mostHurry), s.at(fails))
	if fails > 0 {
		wait += hurryAgain
	}
	return wait
}
