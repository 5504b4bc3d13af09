// Package persist holds a replica's outputs back until they are safe to send: an output is released once a state at least
// as new as the one that it was produced with is on disk, and after all earlier outputs. While a write is in flight, newer
// states replace each other, and the next write is of the newest one. This is the part of etcd/raft's Ready contract that
// requires messages to be sent after the state is saved, with writes to the disk in the background.
//
// The package does no I/O, has no goroutine, and takes times as arguments. The owner of a Queue adds outputs, performs the
// writes that NextWrite returns, one at a time, reports their results, and sends what TakeReady returns.
//
// Start reading at Queue.Add and Queue.TakeReady. docs/design/register.md ("What is on disk") describes the rule that is
// enforced here.
package persist

import (
	"slices"
	"time"

	"firplank/mesh/register"
)

const (
	// DiskTimeout is how long a state may be unsynced before the disk counts as failing.
	DiskTimeout = time.Second
	// minRetryDelay is the delay after a failed write. It doubles with each further failure up to maxRetryDelay. The number
	// of retries isn't bounded, as a failed write loses no data.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	// maxDoublings keeps the shift of the delay from overflowing. maxRetryDelay is reached earlier.
	maxDoublings = 10
	// maxPendingOutputs and maxPendingBytes bound the pending outputs, the latter in bytes of configurations. When either is
	// reached the queue is full, and its owner passes no more events to the replica: messages are dropped as on a lossy
	// link, and operators' requests are rejected. One output may exceed the bounds, as an event's output is known only after
	// the event.
	maxPendingOutputs = 512
	maxPendingBytes   = 8 << 20
)

// Committed is the newest value that the replica knew to be on a majority of disks. The replica's own disk is counted as
// if the state were synced.
type Committed struct {
	Known bool // whether there is such a value
	Value register.Value
	AsOf  time.Duration // when it was known to be the newest
}

// Ready is the part of an event's output that may leave the process. Messages are sent first, then the committed value is
// put in force, then the outcomes of operations are reported.
type Ready struct {
	Messages  []register.Message
	Committed Committed
	Outcomes  []register.Outcome
}

// Write is a state to be written to the disk.
type Write struct {
	Number uint64 // rises by one with each state
	State  *register.State
}

// output is a pending output.
type output struct {
	requiredState uint64 // number of the state that has to be on disk first
	bytes         int
	ready         Ready
}

// Queue holds a replica's outputs back until their states are on disk. The zero Queue is empty and ready for use. It isn't
// safe for concurrent use.
type Queue struct {
	newest        Write
	syncedNumber  uint64 // number of the newest state that is on disk
	writeInFlight bool   // NextWrite has returned a state, and its result is not reported yet

	unsyncedSince time.Duration // since when a state has not been synced
	failures      int           // failed writes in a row
	retryAt       time.Duration

	outputs      []output
	pendingBytes int
}

// Add appends an event's output, and the newest value that the replica knew to be committed after the event. The queue
// keeps the output's slices.
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

// configurationBytes returns the size of the configurations in an output. A configuration in several messages counts once
// for each.
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

// TakeReady removes and returns the outputs that may leave the process now, in the order in which they were added.
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

// Full reports whether the queue is full. While it is, no events may be passed to the replica.
func (q *Queue) Full() bool {
	return len(q.outputs) >= maxPendingOutputs || q.pendingBytes >= maxPendingBytes
}

// NextWrite returns the state to be written now. ok is false if there is none, a write is in flight, or a retry isn't due
// yet. The owner reports the result by calling WriteSynced or WriteFailed.
func (q *Queue) NextWrite(now time.Duration) (w Write, ok bool) {
	if q.writeInFlight || q.allSynced() || now < q.retryAt {
		return Write{}, false
	}
	q.writeInFlight = true
	return q.newest, true
}

// WriteSynced records that the write in flight, of the state with this number, is on disk.
func (q *Queue) WriteSynced(now time.Duration, number uint64) {
	q.writeInFlight = false
	q.failures = 0
	q.retryAt = now
	q.syncedNumber = max(q.syncedNumber, number)
	q.unsyncedSince = now // a state added during the write counts as unsynced from now
}

// WriteFailed records that the write in flight may not be on disk, and schedules a retry.
func (q *Queue) WriteFailed(now time.Duration) {
	q.writeInFlight = false
	q.retryAt = now + min(maxRetryDelay, minRetryDelay<<min(q.failures, maxDoublings))
	q.failures++
}

// DiskFailing reports whether a state has been unsynced for DiskTimeout.
func (q *Queue) DiskFailing(now time.Duration) bool {
	return !q.allSynced() && now >= q.unsyncedSince+DiskTimeout
}

// UnsyncedFor returns how long a state has been unsynced, or 0 if all states are on disk.
func (q *Queue) UnsyncedFor(now time.Duration) time.Duration {
	if q.allSynced() {
		return 0
	}
	return now - q.unsyncedSince
}

// NextTick returns when the owner has to check the queue again, because a write becomes due or the disk starts to count as
// failing. ok is false if there is no such time.
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
