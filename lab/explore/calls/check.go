package calls

import "fmt"

// history is what happened, as a client and the servers saw it.
type history struct {
	runs    map[string]int    // by the request's id
	answers map[string]status // what its client got
	breach  error
}

// status is an answer as a client reads it.
type status int

const (
	served  status = 200
	failed  status = 500 // by a server
	refused status = 503 // a promise that it has not run, and will not
	unknown status = 502 // no promise
)

func (h *history) init() {
	if h.runs == nil {
		h.runs, h.answers = map[string]int{}, map[string]status{}
	}
}

// ran notes that a server has begun a request.
func (h *history) recordStart(id string) {
	h.init()
	h.runs[id]++
	if h.runs[id] > 1 {
		h.fail("%s has run twice", id)
	}
	if h.answers[id] == refused {
		h.fail("%s runs after its client was promised that it would not", id)
	}
}

// answered notes what a request's client gets, with the body of the response, which names the request that it was made for.
func (h *history) recordAnswer(id string, s status, body string) {
	h.init()
	if h.answers[id] != 0 {
		h.fail("%s is answered twice", id)
	}
	h.answers[id] = s
	switch {
	case s == refused && h.runs[id] > 0:
		h.fail("%s has run, and its client is promised that it has not", id)
	case (s == served || s == failed) && body != id:
		h.fail("%s gets the answer of %q", id, body)
	case (s == served || s == failed) && h.runs[id] == 0:
		h.fail("%s has not run, and its client is told that it has", id)
	}
}

func (h *history) fail(format string, args ...any) {
	if h.breach == nil {
		h.breach = fmt.Errorf(format, args...)
	}
}

func (h *history) broken() error { return h.breach }
