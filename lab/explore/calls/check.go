package calls

import "fmt"

// history is what the clients and the servers observed.
type history struct {
	runs    map[string]int    // starts by request ID
	answers map[string]status // by request ID
	breach  error
}

// status is the status of a response as the client receives it.
type status int

const (
	served  status = 200
	failed  status = 500 // the server executed the request and failed
	refused status = 503 // a promise that the request has not run and will not run
	unknown status = 502 // no promise either way
)

func (h *history) init() {
	if h.runs == nil {
		h.runs, h.answers = map[string]int{}, map[string]status{}
	}
}

// recordStart records that a server has started a request.
func (h *history) recordStart(id string) {
	h.init()
	h.runs[id]++
	if h.runs[id] > 1 {
		h.fail("%s ran twice", id)
	}
	if h.answers[id] == refused {
		h.fail("%s runs after its client was told that it would not", id)
	}
}

// recordAnswer records the response to a client. The body is the ID of the request that the server answered.
func (h *history) recordAnswer(id string, s status, body string) {
	h.init()
	if h.answers[id] != 0 {
		h.fail("%s is answered twice", id)
	}
	h.answers[id] = s
	switch {
	case s == refused && h.runs[id] > 0:
		h.fail("%s has run, but its client is told that it has not", id)
	case (s == served || s == failed) && body != id:
		h.fail("%s gets the response to %q", id, body)
	case (s == served || s == failed) && h.runs[id] == 0:
		h.fail("%s has not run, but its client is told that it has", id)
	}
}

func (h *history) fail(format string, args ...any) {
	if h.breach == nil {
		h.breach = fmt.Errorf(format, args...)
	}
}

func (h *history) broken() error { return h.breach }
