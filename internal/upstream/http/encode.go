package http

// This file encodes requests to servers.

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"firplank/internal/core"
	"firplank/internal/httpwire"
)

// headerOf returns the header fields of a message, which the caller may modify: those that were received, or equivalent
// ones if the protocol of the message has none.
func headerOf(m *core.Message) http.Header {
	if m.Meta != nil {
		h := http.Header(m.Meta).Clone()
		if m.Class != "" && h.Get("X-Qos") != m.Class { // changed by a contract
			h.Set("X-Qos", m.Class)
		}
		return h
	}
	h := make(http.Header, 8)
	for _, f := range []struct{ name, value string }{
		{"X-Trace-Id", m.Trace}, {"X-Qos", m.Class}, {"X-Customer", m.Tenant}, {"X-Object", m.Object},
		{"Idempotency-Key", m.IdempotencyKey}, {"Content-Type", m.ContentType},
	} {
		if f.value != "" {
			h[f.name] = []string{f.value}
		}
	}
	return h
}

// encode encodes the request of an attempt.
func (u *upstream) encode(a *core.Attempt) ([]byte, error) {
	if u.dialect != nil {
		return u.appendDialectRequest(make([]byte, 0, 512+len(a.Message.Body)), a), nil
	}
	return encode(a.Message, a.Deadline)
}

// appendDialectRequest appends a request as the dialect defines it. A streamed body is not included and follows.
func (u *upstream) appendDialectRequest(dst []byte, a *core.Attempt) []byte {
	m, remaining := a.Message, time.Until(a.Deadline)
	if m.Stream != nil {
		remaining = m.Remaining
	}
	dst = append(append(dst, methodOf(m)...), ' ')
	dst = append(append(dst, m.Target...), " HTTP/1.1\r\nHost: "...)
	dst = append(append(dst, m.Authority...), "\r\n"...)
	for name, values := range m.Meta {
		switch name {
		case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Expect":
			continue
		}
		if !u.dialect.ForwardsHeader(name) {
			continue
		}
		for _, v := range values {
			dst = append(append(append(append(dst, name...), ": "...), v...), "\r\n"...)
		}
	}
	dst = u.dialect.AppendHeaders(dst, a, remaining)
	switch {
	case m.Stream != nil && m.Stream.Length() < 0:
		return append(dst, "Transfer-Encoding: chunked\r\n\r\n"...)
	case m.Stream != nil:
		dst = append(dst, "Content-Length: "...)
		return append(strconv.AppendInt(dst, m.Stream.Length(), 10), "\r\n\r\n"...)
	case len(m.Body) > 0 || methodOf(m) != http.MethodGet:
		dst = append(dst, "Content-Length: "...)
		dst = append(strconv.AppendInt(dst, int64(len(m.Body)), 10), "\r\n"...)
	}
	return append(append(dst, "\r\n"...), m.Body...)
}

// encode encodes a message for a server, with the time remaining until deadline.
func encode(m *core.Message, deadline time.Time) ([]byte, error) {
	if m.Meta != nil && m.Stream == nil { // received over HTTP, and validated there
		return appendRequest(make([]byte, 0, 512+len(m.Body)), m, time.Until(deadline)), nil
	}
	req := http.Request{
		Method: methodOf(m),
		URL:    &url.URL{Opaque: cmp.Or(m.Target, "/api/"+m.Method)}, // forwarded as the client sent it
		Header: headerOf(m),
		Host:   cmp.Or(m.Authority, "app.svc"),
	}
	remaining := time.Until(deadline)
	if m.Stream != nil {
		remaining = m.Remaining // the server also counts from the last byte of the request
	}
	req.Header.Set(httpwire.ExpiryHeader, strconv.FormatInt(max(1, remaining.Microseconds()), 10)+"u")
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "") // otherwise Write adds its own
	}
	if m.Stream != nil {
		return encodeHead(&req, m.Stream.Length()), nil
	}
	if len(m.Body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(m.Body)), int64(len(m.Body))
	} else if req.Method != http.MethodGet {
		req.Body = http.NoBody
	}
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return out.Bytes(), nil
}

// appendRequest appends a request with the header fields as they were received.
func appendRequest(dst []byte, m *core.Message, remaining time.Duration) []byte {
	method := methodOf(m)
	dst = append(append(dst, method...), ' ')
	dst = append(append(dst, m.Target...), " HTTP/1.1\r\nHost: "...)
	dst = append(dst, cmp.Or(m.Authority, "app.svc")...)
	class := m.Class
	for name, values := range m.Meta {
		switch name {
		case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Expect", httpwire.ExpiryHeader:
			continue
		case "X-Qos":
			if class != "" { // a contract may have changed it
				continue
			}
		}
		for _, v := range values {
			dst = append(append(append(append(dst, "\r\n"...), name...), ": "...), v...)
		}
	}
	if class != "" {
		dst = append(append(dst, "\r\nX-Qos: "...), class...)
	}
	dst = append(dst, "\r\n"+httpwire.ExpiryHeader+": "...)
	dst = append(strconv.AppendInt(dst, max(1, remaining.Microseconds()), 10), 'u')
	if len(m.Body) > 0 || method != http.MethodGet {
		dst = append(dst, "\r\nContent-Length: "...)
		dst = strconv.AppendInt(dst, int64(len(m.Body)), 10)
	}
	return append(append(dst, "\r\n\r\n"...), m.Body...)
}
