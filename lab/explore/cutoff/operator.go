package cutoff

import (
	"time"

	"firplank/mesh/configversion"
	"firplank/mesh/delta"
)

const (
	callTimeout  = time.Second // after which an operator retries at another machine
	retryDelay   = 100 * time.Millisecond
	readInterval = 250 * time.Millisecond
)

// operator sends writes and reads to control machines, as the protocol describes it.
type operator struct {
	w       *world
	version configversion.Version
	calls   int
	pending map[int]func(status int) // callbacks of calls without a response yet
}

func (o *operator) scheduleCalls(w *world) {
	o.w, o.pending = w, map[int]func(int){}
	for at := operatorStart; at < dayEnd-2*time.Second; {
		w.after(at, func() {
			o.version++
			o.write(o.version, w.rng.IntN(machines))
		})
		gap := writeInterval
		if at >= stormStart && at < stormStart+stormDuration {
			gap = stormWriteInterval
		}
		at += gap
	}
	for at := operatorStart; at < dayEnd-time.Second; at += readInterval {
		w.after(at, o.read)
	}
}

// firstMachine returns the machine to call first: during the cut mostly the one that is cut off, else the drawn one.
func (o *operator) firstMachine(drawn int) int {
	if o.w.cut && o.w.rng.IntN(3) > 0 {
		return o.w.target
	}
	return drawn
}

func (o *operator) write(version configversion.Version, to int) {
	text := textOf(version)
	o.w.history.add(Event{At: o.w.now, Kind: WriteSent, Version: version, Text: delta.Hash(text)})
	o.tryWrite(version, text, o.firstMachine(to))
}

func (o *operator) tryWrite(version configversion.Version, text []byte, to int) {
	retry := func() {
		o.w.after(retryDelay, func() { o.tryWrite(version, text, (to+1+o.w.rng.IntN(machines-1))%machines) })
	}
	o.call(to, &operation{put: true, version: version}, text, func(status int) {
		if status == 0 || status >= 500 {
			retry()
		}
	})
}

func (o *operator) read() {
	to := o.firstMachine(o.w.rng.IntN(machines))
	o.calls++
	o.w.history.add(Event{At: o.w.now, Kind: ReadSent, Call: o.calls, Machine: to})
	o.send(o.calls, to, &operation{id: o.calls}, nil, func(int) {})
}

func (o *operator) call(to int, op *operation, text []byte, then func(status int)) {
	o.calls++
	op.id = o.calls
	o.w.history.add(Event{At: o.w.now, Kind: WriteSent, Call: op.id, Version: op.version, Machine: to, Text: delta.Hash(text)})
	o.send(op.id, to, op, text, then)
}

// send sends a call to a machine. It calls then once, with the response's status, or 0 after a time-out or if the machine is down.
func (o *operator) send(call, to int, op *operation, text []byte, then func(status int)) {
	o.pending[call] = then
	o.w.after(latency, func() {
		m := o.w.controls[to]
		if m.incarnation == 0 {
			o.end(call, 0)
			return
		}
		m.propose(op, text)
	})
	o.w.after(callTimeout, func() { o.end(call, 0) })
}

func (o *operator) end(call, status int) {
	if then := o.pending[call]; then != nil {
		delete(o.pending, call)
		then(status)
	}
}

// answer sends a machine's response to the operator, which ignores it after the time-out.
func (w *world) answer(call, machine, status int, version configversion.Version) {
	w.after(latency, func() {
		o := &w.operator
		if o.pending[call] == nil {
			return
		}
		w.history.add(Event{At: w.now, Kind: Answered, Call: call, Machine: machine, Status: status, Version: version})
		o.end(call, status)
	})
}
