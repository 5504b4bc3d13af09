package persist

import (
	"math/rand/v2"
	"testing"
	"time"

	"firplank/mesh/register"
)

// driver adds random outputs to a queue, performs the due writes on a disk that fails at random, and checks the outputs
// that are released.
type driver struct {
	t     *testing.T
	seed  uint64
	rng   *rand.Rand
	queue Queue
	now   time.Duration

	statesMade   uint64   // number of states added
	syncedState  uint64   // number of the newest state on disk
	writingState uint64   // number of the state being written; 0 if none
	required     []uint64 // for each output, the number of the state it was added with
	released     uint64   // number of outputs released
}

func (d *driver) addOutput() {
	out := register.Output{Outcomes: []register.Outcome{{ID: uint64(len(d.required))}}}
	if d.rng.IntN(2) == 0 {
		d.statesMade++
		out.State = &register.State{Promised: register.Ballot{Number: d.statesMade}}
	}
	d.queue.Add(d.now, out, Committed{})
	d.required = append(d.required, d.statesMade)
}

func (d *driver) beginWrite() {
	w, ok := d.queue.NextWrite(d.now)
	if !ok {
		return
	}
	if newest := w.State.Promised.Number; d.writingState != 0 || newest != d.statesMade {
		d.t.Fatalf("seed %d: state %d of %d is to be written while %d is", d.seed, newest, d.statesMade, d.writingState)
	}
	d.writingState = w.Number
}

func (d *driver) endWrite(failed bool) {
	if failed {
		d.queue.WriteFailed(d.now)
	} else {
		d.syncedState = d.writingState
		d.queue.WriteSynced(d.now, d.writingState)
	}
	d.writingState = 0
}

func (d *driver) takeReady() {
	for _, r := range d.queue.TakeReady() {
		id := r.Outcomes[0].ID
		if id != d.released || d.required[id] > d.syncedState {
			d.t.Fatalf("seed %d: output %d released after %d with state %d on disk, needs %d", d.seed, id, d.released, d.syncedState, d.required[id])
		}
		d.released++
	}
}

func (d *driver) step() {
	d.now += time.Duration(d.rng.IntN(40)) * time.Millisecond
	switch d.rng.IntN(4) {
	case 0, 1:
		if !d.queue.Full() {
			d.addOutput()
		}
	case 2:
		d.beginWrite()
	case 3:
		if d.writingState != 0 {
			d.endWrite(d.rng.IntN(3) == 0)
		}
	}
	d.takeReady()
}

// For any order of outputs, writes, failures and stalls, no output is released before its state is on disk or out of
// order, and all are released once the disk works.
func TestOutputsAreHeldBackUntilTheirStateIsSynced(t *testing.T) {
	for seed := range uint64(300) {
		d := &driver{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1))}
		for range 200 {
			d.step()
		}
		for d.released < uint64(len(d.required)) {
			if w, ok := d.queue.NextWrite(d.now); ok {
				d.writingState = w.Number
			}
			d.endWrite(false)
			d.takeReady()
		}
	}
}

// A disk whose writes fail counts as failing after DiskTimeout. Writes are retried without limit, at most about once a
// second, and the disk no longer counts as failing after the first successful sync.
func TestFailingDiskIsRetriedWithBackoff(t *testing.T) {
	q := &Queue{}
	q.Add(0, register.Output{State: &register.State{}}, Committed{})
	attempts := 0
	for now := time.Duration(0); now < 100*time.Second; now += 5 * time.Millisecond {
		if _, ok := q.NextWrite(now); ok {
			attempts++
			q.WriteFailed(now)
		}
		if q.DiskFailing(now) != (now >= DiskTimeout) {
			t.Fatalf("at %v failing is %v", now, q.DiskFailing(now))
		}
	}
	if attempts < 95 || attempts > 110 {
		t.Errorf("%d attempts in 100 s", attempts)
	}
	w, ok := q.NextWrite(101 * time.Second)
	if q.WriteSynced(101*time.Second, w.Number); !ok || q.DiskFailing(101*time.Second) || len(q.TakeReady()) != 1 {
		t.Error("the disk still counts as failing")
	}
}

// The queue is full by number of outputs or by bytes.
func TestQueueIsBounded(t *testing.T) {
	q := &Queue{}
	body := &register.Value{Body: make([]byte, 1<<20)}
	for _, messages := range [][]register.Message{nil, {{Value: body}, {Value: body}}} {
		added := 0
		for ; !q.Full(); added++ {
			q.Add(0, register.Output{State: &register.State{}, Messages: messages}, Committed{})
		}
		if messages == nil && added != maxPendingOutputs || messages != nil && added != 4 {
			t.Errorf("full after %d", added)
		}
		w, _ := q.NextWrite(0)
		if q.WriteSynced(0, w.Number); len(q.TakeReady()) != added || q.Full() || q.pendingBytes != 0 {
			t.Errorf("%d bytes are still pending", q.pendingBytes)
		}
	}
}
