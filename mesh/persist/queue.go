// Package persist decides what of a replica's output may leave the process, and when: an output leaves once a state at
// least as new as the one that it was made in is on disk, and after all outputs before it. While a write is in flight,
// the states that follow it are merged: the next write is of the newest. It is the part of etcd/raft's Ready contract
// that messages are sent after the state is saved, with the disk written in the background.
//
// It does no I/O, has no goroutine, and takes the clock as an argument. The owner of a Queue adds outputs, does what
// NextWrite returns, one write at a time, reports how that ended, and sends what TakeReady returns.
//
// Begin with Queue.Add and Queue.TakeReady. docs/design/register.md ("What is on disk") has the rule that this keeps.
package persist

import (
	"slices"
	"time"

	"firplank/mesh/register"
)

const (
	// DiskTimeout is how long a state may wait for the disk before the disk counts as failing.
	DiskTimeout = time.Second
	// retryMin is the pause after a failed write, which doubles with each further one up to retryMax. The number of
	// retries isn't bounded: an error of the disk loses nothing but time, and this is how often it is tried again.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	// maxDoublings keeps the pause's shift from overflowing; retryMax is reached long before.
	maxDoublings = 10
	// maxOutputs and maxBytes bound what is pending, the latter in bytes of configurations. Beyond either the queue is
	// full, and its owner gives the replica no more events: messages are lost as on a link, operators are refused. One
	// more output than the bound may be pending, as what an event leads to is known after it.
	maxPendingOutputs = 512
	maxPendingBytes   = 8 << 20
)

// Committed is the newest value that the replica knew to be on a majority of disks, its own counted as if synced.
type Committed struct {
	Known bool // there is one
	Value register.Value
	AsOf  time.Duration // when it was known to be the newest
}

// Ready is what an event has led to and what may leave the process: messages first, then the value in force, then
// outcomes of operations.
type Ready struct {
	Messages  []register.Message
	Committed Committed
	Outcomes  []register.Outcome
}

// Write is a state to be written.
type Write struct {
	Number uint64 // rises with each state
	State  *register.State
}

// output waits for the state that it was made in.
type output struct {
	requiredState uint64 // number of that state
	bytes         int
	ready         Ready
}

// Queue holds the outputs of a replica back until their states are on disk. The zero Queue is empty. It isn't safe for
// concurrent use.
type Queue struct {
	newest        Write
	syncedNumber  uint64 // number of the newest state that is on disk
	writeInFlight bool   // a write is

	unsyncedSince time.Duration // of the oldest state that isn't on disk
	failures      int           // failed writes in a row
	retryAt       time.Duration

	outputs      []output
	pendingBytes int
}

// Add records what an event has led to, and the newest value that the replica knew after it. The queue keeps the
// output's slices.
func (q *Queue) Add(now time.Duration, out register.Output, committed Committed) {
	if out.State != nil {
		if q.allSynced() {
			q.unsyncedSince = now
		}
		q.newest = Write{Number: q.newest.Number + 1, State: out.State}
	}
	o := output{
		requiredState: q.newest.Number,
		bytes:         configurationBytes(out),
		ready:         Ready{Messages: out.Messages, Committed: committed, Outcomes: out.Outcomes},
	}
	q.outputs = append(q.outputs, o)
	q.pendingBytes += o.bytes
}

// bodyBytes is the size of the configurations that an output holds. One that stands in several messages counts with
// each.
func configurationBytes(out register.Output) (size int) {
	for i := range out.Messages {
		if v := out.Messages[i].Value; v != nil {
			size += len(v.Body)
		}
	}
	for i := range out.Outcomes {
		size += len(out.Outcomes[i].Value.Body)
	}
	return size
}

// TakeReady removes and returns what may leave now, in the order in which it was added.
func (q *Queue) TakeReady() (ready []Ready) {
	for _, o := range q.outputs {
		if o.requiredState > q.syncedNumber {
			break
		}
		ready = append(ready, o.ready)
		q.pendingBytes -= o.bytes
	}
	q.outputs = slices.Delete(q.outputs, 0, len(ready))
	return ready
}

// Full reports whether the replica may be given no more events.
func (q *Queue) Full() bool {
	return len(q.outputs) >= maxPendingOutputs || q.pendingBytes >= maxPendingBytes
}

// NextWrite returns the state to be written now; ok is false where there is none, a write is in flight, or a retry
// isn't due. The owner reports its end with WriteSynced or WriteFailed.
func (q *Queue) NextWrite(now time.Duration) (w Write, ok bool) {
	if q.writeInFlight || q.allSynced() || now < q.retryAt {
		return Write{}, false
	}
	q.writeInFlight = true
	return q.newest, true
}

// WriteSynced reports that the write in flight is on disk.
func (q *Queue) WriteSynced(now time.Duration, number uint64) {
	q.writeInFlight = false
	q.failures = 0
	q.retryAt = now
	q.syncedNumber = max(q.syncedNumber, number)
	q.unsyncedSince = now // states that came meanwhile begin to wait now
}

// WriteFailed reports that the write in flight may not be on disk.
func (q *Queue) WriteFailed(now time.Duration) {
	q.writeInFlight = false
	q.retryAt = now + min(maxRetryDelay, minRetryDelay<<min(q.failures, maxDoublings))
	q.failures++
}

// DiskFailing reports whether a state has been waiting for the disk for DiskTimeout.
func (q *Queue) DiskFailing(now time.Duration) bool {
	return !q.allSynced() && now >= q.unsyncedSince+DiskTimeout
}

// Waiting returns for how long a state has been waiting for the disk; 0: none is.
func (q *Queue) UnsyncedFor(now time.Duration) time.Duration {
	if q.allSynced() {
		return 0
	}
	return now - q.unsyncedSince
}

// NextTick returns when the owner has to look at the queue again, as a write is due or the disk begins to count as
// failing; ok is false where neither is to come.
func (q *Queue) NextTick(now time.Duration) (at time.Duration, ok bool) {
	if q.allSynced() {
		return 0, false
	}
	if !q.writeInFlight {
		return q.retryAt, true
	}
	at = q.unsyncedSince + DiskTimeout
	return at, now < at
}

func (q *Queue) allSynced() bool { return q.newest.Number == q.syncedNumber }
