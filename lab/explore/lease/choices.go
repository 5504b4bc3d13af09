package lease

import (
	"fmt"
	"time"

	"firplank/lab/explore"
)

// manySteps is the number of steps that one choice may advance the time by.
const manySteps = 15

// delaySteps are the numbers of steps that messages may be delayed by: a vote duration and more.
var delaySteps = []int{21, 25, 29}

// Choices implements explore.System.
func (w *world) Choices() []string {
	w.choices = w.choices[:0]
	if w.repaired {
		return nil
	}
	w.offerTime()
	w.offerMessages()
	if w.faults < w.bounds.Faults {
		w.offerDelays()
		w.offerLosses()
		w.offerMachineFaults()
	}
	return explore.Names(w.choices)
}

// offer adds a choice.
func (w *world) offer(do func(), format string, args ...any) {
	name := fmt.Sprintf("%5.1f s  ", w.now.Seconds()) + fmt.Sprintf(format, args...)
	w.choices = append(w.choices, explore.Choice{Name: name, Do: do})
}

// offerFault adds a choice that counts as a fault.
func (w *world) offerFault(do func(), format string, args ...any) {
	w.offer(func() {
		w.faults++
		do()
	}, format, args...)
}

// offerTime adds the choices in which time passes.
func (w *world) offerTime() {
	w.offer(func() { w.advance(step) }, "time passes")
	w.offer(func() { w.advanceSteps(1) }, "time passes, and all messages arrive")
	w.offer(func() { w.advanceSteps(manySteps) }, "%.1f s pass, and all messages arrive", (manySteps * step).Seconds())
	w.offer(w.deliverAll, "all messages arrive")
	if w.steps%repairInterval == repairInterval-1 {
		w.offer(w.repair, "all is repaired for long")
	}
}

// offerMessages adds the delivery of one of the two oldest or two latest messages.
func (w *world) offerMessages() {
	for _, index := range []int{0, 1, len(w.inFlight) - 2, len(w.inFlight) - 1} {
		if index >= 0 && index < len(w.inFlight) {
			m := w.inFlight[index]
			w.offer(func() { w.deliver(index, false) }, "%s receives a message of %s", m.To, m.From)
		}
	}
}

// offerDelays adds partitions and late messages.
func (w *world) offerDelays() {
	w.offerFault(func() { w.partition = !w.partition }, "a is partitioned, or joined again")
	for _, steps := range delaySteps {
		seconds := (time.Duration(steps) * step).Seconds()
		w.offerFault(func() { w.delayInFlight(steps) }, "messages under way are late by %.1f s", seconds)
		w.offerFault(func() {
			w.partition = true
			w.delayInFlight(steps)
			w.partition = false
		}, "messages under way are late by %.1f s, in which a is partitioned", seconds)
		if w.machines[0].lease != nil {
			w.offerFault(func() {
				w.start(0)
				w.delayInFlight(steps)
			}, "a is killed and starts at once, and messages under way are late by %.1f s", seconds)
		}
	}
}

// offerLosses adds lost and duplicated messages.
func (w *world) offerLosses() {
	if len(w.inFlight) == 0 {
		return
	}
	w.offerFault(func() { w.deliver(len(w.inFlight)-1, true) }, "the latest message arrives, and will arrive again")
	w.offerFault(func() { w.inFlight = w.inFlight[:0] }, "all messages under way are lost")
}

// offerMachineFaults adds kills, starts and freezes of machines.
func (w *world) offerMachineFaults() {
	for i := range w.machines {
		m := &w.machines[i]
		if m.lease == nil {
			w.offer(func() { w.start(i) }, "%s starts", m.name)
			continue
		}
		w.offerFault(func() { m.lease = nil }, "%s is killed", m.name)
		w.offerFault(func() { w.start(i) }, "%s is killed and starts at once", m.name)
		w.offerFault(func() { m.frozen = !m.frozen }, "%s freezes, or resumes", m.name)
	}
}
