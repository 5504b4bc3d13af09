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

// head is the parsed head of a request.
type head struct {
	method, target, path, host string
	header                     http.Header
	length                     int64 // Content-Length; -1: none
	chunked                    bool
	closeAfter                 bool // "Connection: close", or HTTP/1.0
	http10                     bool
	expectsContinue            bool // "Expect: 100-continue"
}

// request returns the head for a dialect.
func (h *head) request() *Request {
	return &Request{Method: h.method, Target: h.target, Path: h.path, Host: h.host, Header: h.header}
}

// Faults of a head, besides those of requestScanner.
var (
	errHeadTooLong      = &badRequest{http.StatusRequestHeaderFieldsTooLarge, "head too long"}
	errRequestLine      = errors.New("no request line")
	errVersion          = &badRequest{http.StatusHTTPVersionNotSupported, "neither HTTP/1.1 nor HTTP/1.0"}
	errHost             = errors.New("not exactly one Host, or one that is none")
	errTransferEncoding = &badRequest{http.StatusNotImplemented, "a Transfer-Encoding other than chunked"}
	errExpectation      = &badRequest{http.StatusExpectationFailed, "an expectation other than 100-continue"}
)

// headScanner finds the end of a head that is received in pieces.
type headScanner struct {
	offset    int // bytes that were scanned
	lineStart int // start of the current line
}

// findEnd continues the scan of b, which holds the head from its first byte, and returns the end of the head; 0 if it is not in b.
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

// parseHead parses a complete head. It accepts nothing that the standard library rejects, and nothing that two parsers could
// interpret in different ways: RFC 9112 without any of its optional leniency.
func parseHead(b []byte) (*head, error) {
	text := string(b[:len(b)-2]) // without the empty line; the only copy, shared by all fields
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

// framing evaluates the headers that determine the end of the body and of the connection.
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
