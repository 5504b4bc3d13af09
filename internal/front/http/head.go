package http

import (
	"bytes"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"firplank/internal/httpwire"
)

// head is the head of a request, taken apart.
type head struct {
	method, target, path, host string
	header                     http.Header
	length                     int64 // of the body; -1 where none is announced
	chunked                    bool
	closeAfter                 bool // the client closes after this request, or speaks HTTP/1.0
	http10                     bool // it speaks HTTP/1.0
	expectsContinue            bool // it waits for leave to send its body
}

// request is what a dialect is shown of it.
func (h *head) request() *Request {
	return &Request{Method: h.method, Target: h.target, Path: h.path, Host: h.host, Header: h.header}
}

// What is wrong with a head, besides framing's errors.
var (
	errHeadTooLong      = &badRequest{http.StatusRequestHeaderFieldsTooLarge, "head too long"}
	errRequestLine      = errors.New("no request line")
	errVersion          = &badRequest{http.StatusHTTPVersionNotSupported, "neither HTTP/1.1 nor HTTP/1.0"}
	errHost             = errors.New("not exactly one Host, or one that is none")
	errTransferEncoding = &badRequest{http.StatusNotImplemented, "a Transfer-Encoding other than chunked"}
	errExpectation      = &badRequest{http.StatusExpectationFailed, "an expectation other than 100-continue"}
)

// headScan finds the end of a head in bytes that come piece by piece.
type headScanner struct {
	offset    int // how far it has looked
	lineStart int // where the present line begins
}

// find goes on over b, which holds the head from its first byte, and returns where the head ends; 0 where it does not yet.
func (s *headScanner) findEnd(b []byte) (end int, err error) {
	for s.offset < len(b) {
		i := bytes.IndexByte(b[s.offset:], '\n')
		if i < 0 {
			s.offset = len(b)
			break
		}
		i += s.offset
		if i == 0 || b[i-1] != '\r' {
			return 0, httpwire.ErrLineEnd
		}
		s.offset = i + 1
		if i-1 == s.lineStart && s.lineStart > 0 {
			return s.offset, nil
		}
		s.lineStart = s.offset
	}
	if len(b) > maxHeaderBytes {
		return 0, errHeadTooLong
	}
	return 0, nil
}

// parseHead takes a whole head apart. It takes nothing that the standard library would not, and nothing that two readers
// could understand in two ways: RFC 9112 with none of its tolerance.
func parseHead(b []byte) (*head, error) {
	text := string(b[:len(b)-2]) // without the empty line; the one copy that all of it shares
	line, rest, _ := strings.Cut(text, "\r\n")
	h := &head{length: -1}
	if err := h.requestLine(line); err != nil {
		return nil, err
	}
	var err error
	if h.header, err = httpwire.ReadFields(rest); err != nil {
		return nil, err
	}
	hosts := h.header["Host"]
	if len(hosts) > 0 {
		h.host = hosts[0]
		delete(h.header, "Host")
	}
	if len(hosts) > 1 || len(hosts) == 0 && !h.closeAfter || !httpguts.ValidHostHeader(h.host) {
		return nil, errHost
	}
	return h, h.framing()
}

func (h *head) requestLine(line string) error {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !httpguts.ValidHeaderFieldName(method) || target == "" || target[0] != '/' {
		return errRequestLine
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] >= 0x7f {
			return errRequestLine
		}
	}
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.closeAfter, h.http10 = true, true
	default:
		return errVersion
	}
	h.method, h.target = method, target
	if strings.IndexByte(target, '%') < 0 && strings.IndexByte(target, '#') < 0 {
		h.path, _, _ = strings.Cut(target, "?")
		return nil
	}
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return errRequestLine
	}
	h.path = u.Path
	return nil
}

// framing reads the headers by which the body's end and the connection's are known.
func (h *head) framing() error {
	lengths, codings := h.header["Content-Length"], h.header["Transfer-Encoding"]
	switch {
	case len(lengths) > 0 && len(codings) > 0:
		return errConflictingLengths
	case len(lengths) > 1 || len(codings) > 1:
		return errBadLength
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || lengths[0][0] == '+' {
			return errBadLength
		}
		h.length = int64(n)
	case len(codings) == 1:
		if !strings.EqualFold(codings[0], "chunked") || h.closeAfter {
			return errTransferEncoding
		}
		h.chunked = true
	}
	for _, line := range h.header["Connection"] {
		for _, token := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "close") {
				h.closeAfter = true
			}
		}
	}
	if expect := h.header["Expect"]; len(expect) > 0 {
		if len(expect) > 1 || !strings.EqualFold(expect[0], "100-continue") {
			return errExpectation
		}
		h.expectsContinue = true
	}
	return nil
}
