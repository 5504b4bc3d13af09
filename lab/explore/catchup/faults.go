package catchup

import "time"

// injectFaults injects a fault if one is due for the number of acknowledged changes, and schedules its next call.
func (w *world) injectFaults() {
	acknowledged := w.clients.acknowledged
	if acknowledged >= w.plan.Changes {
		return
	}
	w.stopOrRestartAbsent()
	injected := w.plan.Faults - w.faultsLeft
	if w.faultsLeft > 0 && acknowledged*w.plan.Faults >= injected*w.plan.Changes {
		w.faultsLeft--
		w.history.faultOccurred(w.now)
		w.inject(w.machines[w.rng.IntN(members)])
	}
	w.after(time.Duration(20+w.rng.IntN(60))*time.Millisecond, w.injectFaults)
}

// stopOrRestartAbsent stops one machine after a quarter of all changes and restarts it after three quarters.
func (w *world) stopOrRestartAbsent() {
	quarter := w.plan.Changes / 4
	switch {
	case w.absent == nil && w.clients.acknowledged >= quarter:
		m := w.machines[w.rng.IntN(members)]
		if !m.isUp() || !w.othersHaveCaughtUp(m) {
			return
		}
		w.absent = m
		m.stop(nil)
		w.history.faultOccurred(w.now)
	case w.absent != nil && !w.absent.isUp() && w.clients.acknowledged >= 3*quarter:
		w.absent.start(false)
		w.history.faultOccurred(w.now)
	}
}

func (w *world) isAbsent(m *machine) bool {
	return m == w.absent && w.clients.acknowledged < 3*(w.plan.Changes/4)
}

// inject injects a random fault at a machine.
func (w *world) inject(m *machine) {
	if !m.isUp() {
		return
	}
	down := w.downTime()
	switch kind := w.rng.IntN(8); {
	case kind < 2:
		w.result.Kills++
		m.stop(nil)
	case kind < 4:
		m.disk.losePowerSoon()
		return
	case kind < 5:
		w.losePowerEverywhere(m)
	case kind < 6:
		w.refuseWrites(m, 4*down)
		return
	case w.othersHaveCaughtUp(m):
		w.result.DisksLost++
		m.stop(newDisk(w.rng))
		m.earlier = nil
	default:
		w.losePower(m)
	}
	w.restartAfter(m, down)
}

func (w *world) losePower(m *machine) {
	w.result.PowerLosses++
	m.stop(m.disk.powerLoss())
}

// losePowerEverywhere simulates a power loss at all machines. The caller restarts the first.
func (w *world) losePowerEverywhere(first *machine) {
	for _, m := range w.machines {
		if m != first && m.isUp() {
			w.losePower(m)
			w.restartAfter(m, w.downTime())
		}
	}
	w.losePower(first)
}

func (w *world) refuseWrites(m *machine, span time.Duration) {
	w.result.DisksFull++
	d := m.disk
	d.full = true
	w.after(span, func() {
		d.full = false
		w.history.faultOccurred(w.now)
	})
}

// powerLostInWrite stops and restarts the machine after a power loss in the middle of a write.
func (m *machine) powerLostInWrite() {
	m.result.PowerLosses++
	m.history.faultOccurred(m.now)
	m.stop(m.disk.afterPowerLoss)
	m.restartAfter(m, m.downTime())
}

// downTime returns a random time for which a machine is down.
func (w *world) downTime() time.Duration {
	return time.Duration(20+w.rng.IntN(400)) * time.Millisecond
}

func (w *world) restartAfter(m *machine, down time.Duration) {
	w.after(down, func() {
		if !w.isAbsent(m) {
			m.start(false)
			w.history.faultOccurred(w.now)
		}
	})
}

// othersHaveCaughtUp reports whether all other machines are up, caught up and without a disk fault. A disk may be lost
// only then, so that no more than one is lost at a time.
func (w *world) othersHaveCaughtUp(except *machine) bool {
	for _, m := range w.machines {
		if m == except {
			continue
		}
		if !m.isUp() || w.history.isCatchingUp(m.name) || m.disk.full || m.disk.powerLossPending {
			return false
		}
		if !m.pipeline.Replica().State().Voter {
			return false
		}
	}
	return true
}

// endFaults ends all faults.
func (w *world) endFaults() {
	for _, m := range w.machines {
		m.disk.full = false
		m.disk.powerLossPending = false
	}
	w.history.faultOccurred(w.now)
}
