package http

// This file writes answers with the standard library's server; both fronts use statusOf.

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"firplank/internal/core"
)

// failureStatus maps the reason of a failure to a status.
var failureStatus = map[core.Reason]int{
	core.NotServed: http.StatusBadGateway, core.ClientGone: http.StatusBadGateway,
	core.DeadlineExceeded: http.StatusGatewayTimeout, core.DuplicateName: http.StatusConflict,
	core.Forbidden: http.StatusForbidden,
}

// statusOf returns the status of an answer. Of those that the sidecar generates, only 429 and 503 mean that a retry is safe.
func statusOf(a *core.Answer) int {
	switch {
	case a.Status != 0:
		return a.Status
	case a.Kind == core.Refused && a.Reason == core.RateLimited:
		return http.StatusTooManyRequests
	case a.Kind == core.Refused:
		return http.StatusServiceUnavailable
	case a.Kind == core.Failed:
		return failureStatus[a.Reason]
	case a.ApplicationError:
		return http.StatusUnprocessableEntity
	}
	return http.StatusOK
}

// writeAnswer writes an answer, which nothing else changes concurrently.
func writeAnswer(w http.ResponseWriter, a *core.Answer) {
	h, body := w.Header(), a.Body
	if a.Kind == core.Served || a.Status != 0 {
		for name, values := range a.Meta {
			h[name] = values
		}
		if a.Meta == nil && a.ContentType != "" {
			h.Set("Content-Type", a.ContentType)
		}
	} else {
		h.Set("Content-Type", "text/plain; charset=utf-8")
		body = []byte(a.Text + "\n")
		if a.RetryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
		}
	}
	if a.Stream != nil {
		writeStream(w, a)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	setWriteTimeout(w)
	w.WriteHeader(statusOf(a))
	_, _ = w.Write(body) // fails only if the client has disconnected
}

// setWriteTimeout bounds the next writes. The time counts from the call, not from the request, as an answer may arrive at any time: a
// front with a dialect does not know its requests' deadlines.
func setWriteTimeout(w http.ResponseWriter) {
	// Fails only on a closed connection, as the next Write does.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// writeStream writes a streamed answer. If the stream is truncated it aborts the connection, so that the client can detect it.
func writeStream(w http.ResponseWriter, a *core.Answer) {
	defer a.Stream.CloseRead(errRequestOver)
	if n := a.Stream.Length(); n >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	setWriteTimeout(w)
	w.WriteHeader(statusOf(a))
	controller := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := a.Stream.ReadTimeout(buf, 2*streamTimeout)
		// Fails only on a closed connection, as the next call on it does.
		_ = controller.SetWriteDeadline(time.Now().Add(streamTimeout))
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return
			}
			_ = controller.Flush() // fails only if the next Write does
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
