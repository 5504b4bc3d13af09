package register

import (
	"fmt"
	"slices"

	"firplank/lab/explore"
	"firplank/mesh/register"
)

const (
	// tickInterval is the number of steps after which time may pass while messages are in flight. More frequent ticks would let
	// hardly any round complete.
	tickInterval = 9
	// killInterval and lossInterval are the numbers of steps after which machines may be killed, and messages lost or duplicated.
	killInterval, lossInterval = 3, 2
	// syncWeight is the probability that a disk completes its sync, relative to any other choice.
	syncWeight = 3
)

// choices returns the events that may happen next.
func (s *system) choices() []explore.Choice {
	var all []explore.Choice
	for i, m := range s.machines {
		if m.replica == nil {
			all = append(all, explore.Choice{Name: m.name + " starts", Do: func() { s.start(i) }})
			continue
		}
		if m.unsynced != nil {
			sync := explore.Choice{Name: m.name + " has synced", Do: func() { s.sync(i) }}
			all = append(all, slices.Repeat([]explore.Choice{sync}, syncWeight)...)
		} else {
			all = append(all, s.eventChoices(i)...)
		}
		if s.bounds.Faults > 0 && s.step%killInterval == 0 {
			all = append(all, s.killChoices(i)...)
		}
	}
	for i := range s.inFlight {
		all = append(all, s.messageChoices(i)...)
	}
	return all
}

// eventChoices returns the events that a running machine with an idle disk may handle.
func (s *system) eventChoices(i int) (all []explore.Choice) {
	add := func(name string, do func()) { all = append(all, explore.Choice{Name: name, Do: do}) }
	m := s.machines[i]
	if len(s.inFlight) == 0 || s.step%tickInterval == 0 {
		add(m.name+" lets time pass", func() {
			s.now = max(s.now, m.replica.NextTick())
			s.handle(i, register.Tick{})
		})
	}
	if s.bounds.Puts > 0 {
		add("an operator puts a version at "+m.name, func() { s.put(i, s.version+1) })
		if s.version > 0 {
			add("another operator puts the same version at "+m.name, func() { s.put(i, s.version) })
		}
	}
	if s.bounds.Reads > 0 {
		add("an operator reads at "+m.name, func() { s.read(i) })
	}
	if s.bounds.MemberChanges > 0 && s.bounds.Machines > s.bounds.Members {
		add(m.name+" replaces "+s.machines[1].name+" by the spare machine", func() { s.changeMembers(i) })
	}
	return all
}

// killChoices returns the ways in which a machine may fail.
func (s *system) killChoices(i int) []explore.Choice {
	name := s.machines[i].name
	all := []explore.Choice{{Name: name + " is killed", Do: func() { s.kill(i, false) }}}
	if s.bounds.Wipes > 0 && s.othersIntact(i) {
		all = append(all, explore.Choice{Name: name + " loses its disk", Do: func() { s.kill(i, true) }})
	}
	return all
}

// messageChoices returns what may happen to a message in flight.
func (s *system) messageChoices(i int) []explore.Choice {
	name := ""
	if m := &s.inFlight[i]; s.namesWanted {
		name = fmt.Sprintf("%s receives from %s: %d", m.To, m.From, m.Kind)
	}
	all := []explore.Choice{{Name: name, Do: func() { s.deliver(i, true) }}}
	if i > 0 || s.bounds.Faults == 0 || s.step%lossInterval != 0 {
		return all
	}
	return append(all,
		explore.Choice{Name: "the oldest message is lost", Do: func() {
			s.bounds.Faults--
			s.inFlight = slices.Delete(s.inFlight, 0, 1)
		}},
		explore.Choice{Name: "the oldest message comes twice", Do: func() {
			s.bounds.Faults--
			s.deliver(0, false)
		}})
}

// othersIntact reports whether all other machines are up, are voters and have no write pending. At most one disk is lost at a time.
func (s *system) othersIntact(except int) bool {
	for i, m := range s.machines {
		if i != except && (m.replica == nil || !m.replica.State().Voter || m.unsynced != nil) {
			return false
		}
	}
	return true
}
