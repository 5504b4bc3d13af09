package tombstones

// settleSteps is the number of steps that one choice may let pass.
const settleSteps = 6

// Choices implements explore.System.
func (w *world) Choices() []string {
	w.Begin(w.now)
	if w.repaired {
		return nil
	}
	w.Offer(func() { w.advance(step) }, "time passes")
	w.Offer(func() { w.advance(durations.CallTimeout) }, "a call's time-out passes")
	w.Offer(func() { w.settle(settleSteps) }, "messages arrive and disks sync for %v", settleSteps*step)
	if w.servers == w.bounds.Servers || w.Faults == w.bounds.Faults {
		w.Offer(w.repair, "all is repaired")
	}
	w.offerMessages()
	for _, m := range w.machines {
		w.offerRequests(m)
		w.offerDisk(m)
	}
	if w.mayChangeMembers() {
		w.Offer(w.changeMembers, "the change of members goes on")
	}
	if w.Faults < w.bounds.Faults {
		w.offerFaults()
	}
	return w.Names()
}

// offerMessages adds the delivery of one of the oldest or the latest messages.
func (w *world) offerMessages() {
	for _, index := range []int{0, 1, 2, len(w.inFlight) - 1} {
		if index >= 0 && index < len(w.inFlight) {
			m := w.inFlight[index]
			w.Offer(func() { w.deliver(index, false) }, "%s receives a message of %s", m.To, m.From)
		}
	}
}

// offerRequests adds requests of sidecars at a machine, and its start.
func (w *world) offerRequests(m *machine) {
	if m.replica == nil {
		w.Offer(func() { w.start(m) }, "%s starts", m.name)
		return
	}
	if w.servers < w.bounds.Servers {
		w.Offer(func() { w.record(m) }, "a server shuts down, by %s", m.name)
	}
	if len(w.fetches) < w.bounds.Fetches {
		w.Offer(func() { w.fetch(m, "n1") }, "a sidecar reads from %s", m.name)
	}
}

func (w *world) offerDisk(m *machine) {
	if m.replica != nil && len(m.unsynced) > 0 {
		w.Offer(func() { w.sync(m) }, "the disk of %s has synced", m.name)
	}
}

// offerFaults adds lost and duplicated messages, an isolated machine, and kills.
func (w *world) offerFaults() {
	for _, name := range []string{"a", "b", "c", ""} {
		if name != w.isolated {
			w.OfferFault(func() { w.isolated = name }, "%q is isolated", name)
		}
	}
	w.offerLosses()
	w.offerKills()
}

// offerLosses adds lost and duplicated messages.
func (w *world) offerLosses() {
	if len(w.inFlight) > 0 {
		w.OfferFault(func() { w.deliver(len(w.inFlight)-1, true) }, "the latest message arrives, and will arrive again")
		w.OfferFault(func() { w.inFlight = w.inFlight[:0] }, "all messages under way are lost")
	}
}

// offerKills adds killed machines and lost disks.
func (w *world) offerKills() {
	w.OfferFault(func() {
		for _, m := range w.machines {
			w.kill(m)
		}
		for _, m := range w.machines {
			w.start(m)
		}
	}, "all machines are killed and start at once")
	for _, m := range w.machines {
		if m.replica == nil {
			continue
		}
		w.OfferFault(func() { w.kill(m) }, "%s is killed", m.name)
		w.OfferFault(func() {
			w.kill(m)
			w.start(m)
		}, "%s is killed and starts at once", m.name)
		if w.mayLoseDisk() {
			w.OfferFault(func() {
				w.wipe(m)
				w.start(m)
			}, "%s is killed, loses its disk and starts", m.name)
		}
	}
}
