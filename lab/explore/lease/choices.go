package lease

import "time"

// manySteps is the number of steps that one choice may advance the time by.
const manySteps = 15

// delaySteps are the numbers of steps that messages may be delayed by: a vote duration and more.
var delaySteps = []int{21, 25, 29}

// Choices implements explore.System.
func (w *world) Choices() []string {
	w.Begin(w.now)
	if w.repaired {
		return nil
	}
	w.offerTime()
	w.offerMessages()
	if w.Faults < w.bounds.Faults {
		w.offerDelays()
		w.offerLosses()
		w.offerMachineFaults()
	}
	return w.Names()
}

// offerTime adds the choices in which time passes.
func (w *world) offerTime() {
	w.Offer(func() { w.advance(step) }, "time passes")
	w.Offer(func() { w.advanceSteps(1) }, "time passes, and all messages arrive")
	w.Offer(func() { w.advanceSteps(manySteps) }, "%.1f s pass, and all messages arrive", (manySteps * step).Seconds())
	w.Offer(w.deliverAll, "all messages arrive")
	if w.steps%repairInterval == repairInterval-1 {
		w.Offer(w.repair, "all is repaired for long")
	}
}

// offerMessages adds the delivery of one of the two oldest or two latest messages.
func (w *world) offerMessages() {
	for _, index := range []int{0, 1, len(w.inFlight) - 2, len(w.inFlight) - 1} {
		if index >= 0 && index < len(w.inFlight) {
			m := w.inFlight[index]
			w.Offer(func() { w.deliver(index, false) }, "%s receives a message of %s", m.To, m.From)
		}
	}
}

// offerDelays adds partitions and late messages.
func (w *world) offerDelays() {
	w.OfferFault(func() { w.partition = !w.partition }, "a is partitioned, or joined again")
	for _, steps := range delaySteps {
		seconds := (time.Duration(steps) * step).Seconds()
		w.OfferFault(func() { w.delayInFlight(steps) }, "messages under way are late by %.1f s", seconds)
		w.OfferFault(func() {
			w.partition = true
			w.delayInFlight(steps)
			w.partition = false
		}, "messages under way are late by %.1f s, in which a is partitioned", seconds)
		if w.machines[0].lease != nil {
			w.OfferFault(func() {
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
	w.OfferFault(func() { w.deliver(len(w.inFlight)-1, true) }, "the latest message arrives, and will arrive again")
	w.OfferFault(func() { w.inFlight = w.inFlight[:0] }, "all messages under way are lost")
}

// offerMachineFaults adds kills, starts and freezes of machines.
func (w *world) offerMachineFaults() {
	for i := range w.machines {
		m := &w.machines[i]
		if m.lease == nil {
			w.Offer(func() { w.start(i) }, "%s starts", m.name)
			continue
		}
		w.OfferFault(func() { m.lease = nil }, "%s is killed", m.name)
		w.OfferFault(func() { w.start(i) }, "%s is killed and starts at once", m.name)
		w.OfferFault(func() { m.frozen = !m.frozen }, "%s freezes, or resumes", m.name)
	}
}
