package members

import (
	"slices"
	"time"

	"firplank/mesh/controlplane/operations"
)

// fault hits one machine or all. It returns the moment at which all counts as repaired again, so that the next may come.
type fault struct {
	name string
	do   func(w *world) (repaired time.Duration)
}

var faults = []fault{
	{"one is gone for good, and an empty one comes", (*world).remove},
	{"an empty one comes, and one is asked to leave for good", (*world).plannedRemove},
	{"one loses its disk", (*world).wipe},
	{"one is killed", (*world).kill},
	{"one stands still", (*world).freeze},
	{"one is cut off", (*world).cutOff},
	{"one is asked to end, and starts again", (*world).restart},
	{"all are killed", (*world).killAll},
	{"one leaves while another is cut off, and then a third loses its disk", (*world).leaveDuringCut},
}

// faultsOfSeveral come besides where more than one machine may be lost at once.
var faultsOfSeveral = []fault{
	{"as many as tolerated lose their disks", (*world).wipeSeveral},
	{"as many as tolerated lose their disks as all are killed", (*world).wipeSeveralOfAll},
}

// injectFault lets a fault come, and time pass until the next may.
func (w *world) injectFault() {
	possible := faults
	if w.tolerance > 1 {
		possible = append(slices.Clone(faults), faultsOfSeveral...)
	}
	f := possible[w.rng.IntN(len(possible))]
	w.log("%s", f.name)
	if repaired := f.do(w); repaired > w.now {
		w.pass(repaired - w.now)
	}
}

// between returns a time by chance.
func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

// member is a machine that is up and, as far as others know, a member; most often one that was not struck before.
func (w *world) member(but ...*machine) *machine {
	var all []*machine
	for _, m := range w.machines {
		if !m.up() || contains(but, m) {
			continue
		}
		if list := m.replica.Members(); len(list) > 0 && containsName(list, m.name) {
			all = append(all, m)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[w.rng.IntN(len(all))]
}

func contains(all []*machine, m *machine) bool {
	for _, x := range all {
		if x == m {
			return true
		}
	}
	return false
}

func containsName(all []string, name string) bool {
	for _, x := range all {
		if x == name {
			return true
		}
	}
	return false
}

// successor starts a machine with an empty disk at a new address.
func (w *world) successor() {
	m := w.add()
	m.start(false)
	w.log("%s comes", m.name)
}

func (w *world) remove() time.Duration {
	m := w.member()
	w.log("%s is gone", m.name)
	m.down()
	m.removed = true
	w.pass(w.between(step, 1500*time.Millisecond))
	w.successor()
	return w.now + syncS
}

// leaveWithin asks a machine to leave, and kills it when its time is over.
func (w *world) leaveWithin(m *machine) {
	w.log("%s is asked to leave", m.name)
	m.beginDeparture()
	for until := w.now + graceS; m.up() && w.now < until && w.history.Broken == nil; {
		w.pass(step)
	}
	m.down()
}

func (w *world) plannedRemove() time.Duration {
	w.successor()
	repaired := w.now + syncS
	w.pass(w.between(step, 1500*time.Millisecond))
	m := w.member()
	w.leaveWithin(m)
	m.removed = true
	return max(repaired, w.now)
}

func (w *world) wipe() time.Duration {
	m := w.member()
	w.log("%s loses its disk", m.name)
	m.down()
	m.disk = nil
	w.pass(w.between(200*time.Millisecond, 1500*time.Millisecond))
	m.start(false)
	return w.now + syncS
}

// several returns as many members as are tolerated to be lost.
func (w *world) several() (victims []*machine) {
	for range w.tolerance {
		if m := w.member(victims...); m != nil {
			victims = append(victims, m)
		}
	}
	return victims
}

// lose takes machines down, and their disks.
func (w *world) lose(victims []*machine) {
	for _, m := range victims {
		w.log("%s loses its disk", m.name)
		m.down()
		m.disk = nil
	}
}

func (w *world) wipeSeveral() time.Duration {
	victims := w.several()
	w.lose(victims)
	for _, m := range victims {
		w.pass(w.between(200*time.Millisecond, 800*time.Millisecond))
		m.start(false)
	}
	return w.now + syncS
}

func (w *world) wipeSeveralOfAll() time.Duration {
	victims := w.several()
	w.lose(victims)
	w.restartAll(victims, 150*time.Millisecond)
	return w.now + syncS
}

// restartAll kills all machines that are up, and starts them and others that are down, with some time between.
func (w *world) restartAll(down []*machine, most time.Duration) {
	all := slices.Clone(down)
	for _, m := range w.machines {
		if m.up() {
			m.down()
			all = append(all, m)
		}
	}
	for _, m := range all {
		w.pass(w.between(step, most))
		m.start(false)
	}
}

func (w *world) kill() time.Duration {
	m := w.member()
	w.log("%s is killed", m.name)
	m.down()
	w.pass(w.between(200*time.Millisecond, 4*time.Second))
	m.start(false)
	return w.now + syncS
}

func (w *world) freeze() time.Duration {
	m := w.member()
	w.log("%s stands still", m.name)
	m.frozen = true
	w.pass(w.between(200*time.Millisecond, 4*time.Second))
	m.frozen = false
	return w.now + syncS
}

func (w *world) cutOff() time.Duration {
	m := w.member()
	w.log("%s is cut off", m.name)
	m.cut = true
	w.pass(w.between(200*time.Millisecond, 6*time.Second))
	m.cut = false
	return w.now + syncS
}

func (w *world) restart() time.Duration {
	m := w.member()
	w.leaveWithin(m)
	w.pass(500 * time.Millisecond)
	m.start(false)
	return w.now + syncS
}

func (w *world) killAll() time.Duration {
	w.restartAll(nil, 300*time.Millisecond)
	return w.now + syncS
}

// leaveDuringCut has one member cut off, another leave, which is planned work and no loss, and a third lose its disk as
// soon as the first is back. It wants a machine to hand over to; where the leaver finds none in time, the third is
// spared.
func (w *world) leaveDuringCut() time.Duration {
	lagging := w.member()
	leaver := w.member(lagging)
	third := w.member(lagging, leaver)
	if third == nil {
		return w.now
	}
	w.log("%s is cut off", lagging.name)
	lagging.cut = true
	w.pass(w.between(200*time.Millisecond, 600*time.Millisecond))
	w.leaveWithin(leaver)
	leaver.removed = true
	if lagging.cut = false; leaver.departedInOrder {
		w.log("%s loses its disk", third.name)
		third.down()
		third.disk = nil
		w.pass(500 * time.Millisecond)
		third.start(false)
	}
	w.successor()
	return w.now + syncS
}

// powerOff takes the power from all right after a confirmed write, at times with one disk lost, and reads at each machine in the end.
func (w *world) powerOff() {
	before := w.now
	for w.now < before+syncS && !w.history.Confirmed(before) && w.history.Broken == nil {
		w.pass(step)
	}
	w.log("power is lost everywhere")
	w.closing = true
	spared := w.rng.IntN(2) == 0
	var victims []*machine
	if w.tolerance > 1 {
		victims = w.several()
	} else if victim := w.member(); victim != nil {
		victims = append(victims, victim)
	}
	var all []*machine
	for _, m := range w.machines {
		if m.up() {
			m.down()
			all = append(all, m)
		}
	}
	if !spared {
		w.lose(victims)
	}
	w.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, m := range all {
		w.pass(w.between(step, 900*time.Millisecond/time.Duration(len(all))))
		m.start(false)
	}
	w.pass(syncS / 2)
	for _, m := range all {
		if m.up() && !m.stalled {
			w.lastID++
			w.history.Begin(w.lastID, 0, w.now)
			m.propose(operations.Read{}, w.lastID)
		}
		w.pass(50 * time.Millisecond)
	}
	w.pass(syncS / 2)
}
