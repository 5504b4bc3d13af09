package run

import (
	"sync"
	"time"

	"firplank/lab/judge"
)

// buckets is the number of plot points over the length of a run.
const buckets = 100

// recorder passes observations of requests, responses and attempts to the judge and counts them over time.
type recorder struct {
	*judge.Judge
	bucket time.Duration

	mu             sync.Mutex
	offset         time.Duration
	sent           int
	answered       int
	finalResponses int              // of the answered ones, those that were not a broken connection
	servers        map[string][]int // attempts by server and bucket
	attempts       int
	serverOrder    []string
}

func newRecorder(j *judge.Judge, length time.Duration) *recorder {
	return &recorder{Judge: j, bucket: length / buckets, servers: map[string][]int{}}
}

// setOffset sets the time at which the clients begin.
func (r *recorder) setOffset(offset time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offset = offset
}

// Received counts an attempt at a server.
func (r *recorder) Received(trace, server string, sidecar int, first time.Duration) {
	r.Judge.Received(trace, server, sidecar, first)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	if r.servers[server] == nil {
		r.servers[server] = make([]int, buckets)
		r.serverOrder = append(r.serverOrder, server)
	}
	if at := int((first - r.offset) / r.bucket); at >= 0 && at < buckets {
		r.servers[server][at]++
	}
}

// Sent counts a request.
func (r *recorder) Sent(t judge.Try) {
	r.Judge.Sent(t)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
}

// Answered counts a response.
func (r *recorder) Answered(trace string, at time.Duration, a judge.Answer, made string) {
	r.Judge.Answered(trace, at, a, made)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered++
	if a != judge.Broken {
		r.finalResponses++
	}
}

func (r *recorder) counts() (sent, answered int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent, r.answered
}

// acceptedBounds returns bounds on the number of requests that sidecars have accepted: at least those with a final response, and
// at most those sent.
func (r *recorder) acceptedBounds() (least, most int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finalResponses, r.sent
}
