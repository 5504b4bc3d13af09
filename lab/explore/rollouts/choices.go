package rollouts

import "firplank/mesh/rollout"

// manySteps is the number of steps that one choice may advance the time by.
const manySteps = 8

// Choices implements explore.System.
func (w *world) Choices() []string {
	w.Begin(w.now)
	w.Offer(w.advance, "time passes")
	w.Offer(func() {
		for range manySteps {
			w.advance()
		}
	}, "%v pass", manySteps*step)
	for i, s := range w.sidecars {
		w.Offer(func() { w.updateSidecar(s, w.controls[0].set) }, "sidecar %d is updated", i)
		w.Offer(func() { s.nextIsLong = true }, "the next request of sidecar %d is a long one", i)
	}
	for i, c := range w.controls {
		w.Offer(func() { c.set = w.committed }, "control machine %d learns what is committed", i)
	}
	if w.Faults < w.bounds.Faults {
		w.offerFaults()
	}
	return w.Names()
}

// offerFaults adds partitions, restarts, late updates, another leader and a new version that starts to fail.
func (w *world) offerFaults() {
	for i, s := range w.sidecars {
		w.OfferFault(func() { s.partitioned = !s.partitioned }, "sidecar %d is cut off, or joined again", i)
		w.OfferFault(func() { w.restart(i) }, "sidecar %d is killed and starts at once", i)
	}
	for i := range w.controls {
		w.OfferFault(func() { w.controls[i] = w.newControl(w.now) }, "control machine %d is killed and starts at once", i)
	}
	w.OfferFault(func() { w.updatesDelayed = !w.updatesDelayed }, "updates are late, or no longer")
	w.OfferFault(func() { w.leader = (w.leader + 1) % len(w.controls) }, "another control machine holds the lease")
	w.OfferFault(func() { w.newVersionFails = true }, "the new version turns bad")
}

// restart restarts a sidecar's process. It has confirmed nothing, serves only after its first update, and its requests in flight are gone.
func (w *world) restart(i int) {
	s := w.sidecars[i]
	s.set, s.ready, s.confirmed, s.requestsAtOld, s.nextIsLong = rollout.Set{}, w.defect.servesBeforeUpdate, 0, nil, false
	if w.defect.confirmationSurvivesRestart {
		s.confirmed = w.committed.Revision
	}
}
