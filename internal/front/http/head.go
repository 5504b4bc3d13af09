package http

import (
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"cedararch/internal/httpwire"
)

// head is the head of a request, taken apart.
type head struct {
	method, target, path, host string
	header                     http.Header
	length                     int64 // of the body; -1 where none is announced
	chunked                    bool
	last                       bool // the client closes after this request, or speaks HTTP/1.0
	old                        bool // it speaks HTTP/1.0
	expects                    bool // it waits for leave to send its body
}

// What is wrong with a head, besides framing's errors.
var (
	errLineEnd   = errors.New("a line that does not end with CR and LF")
	errLongHead  = &badRequest{http.StatusRequestHeaderFieldsTooLarge, "head too long"}
	errNoRequest = errors.New("no request line")
	errVersion   = &badRequest{http.StatusHTTPVersionNotSupported, "neither HTTP/1.1 nor HTTP/1.0"}
	errField     = errors.New("a header line that is none")
	errHost      = errors.New("not exactly one Host, or one that is none")
	errCoding    = &badRequest{http.StatusNotImplemented, "a Transfer-Encoding other than chunked"}
	errExpects   = &badRequest{http.StatusExpectationFailed, "an expectation other than 100-continue"}
	errChunk     = errors.New("a chunk that is none")
)

// headScan finds the end of a head in bytes that come piece by piece.
type headScan struct {
	at   int // how far it has looked
	line int // where the present line begins
}

// find goes on over b, which holds the head from its first byte, and returns where the head ends; 0 where it does not yet.
func (s *headScan) find(b []byte) (end int, err error) {
	for s.at < len(b) {
		i := bytes.IndexByte(b[s.at:], '\n')
		if i < 0 {
			s.at = len(b)
			break
		}
		i += s.at
		if i == 0 || b[i-1] != '\r' {
			return 0, errLineEnd
		}
		s.at = i + 1
		if i-1 == s.line && s.line > 0 {
			return s.at, nil
		}
		s.line = s.at
	}
	if len(b) > maxHeader {
		return 0, errLongHead
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
	n := strings.Count(rest, "\n")
	h.header = make(http.Header, n)
	values := make([]string, 0, n)
	hosts := 0
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		if line == "" {
			return nil, errField
		}
		if line[0] == ' ' || line[0] == '\t' {
			return nil, errFolded
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !httpguts.ValidHeaderFieldName(name) {
			return nil, errField
		}
		value = strings.Trim(value, " \t")
		if !httpguts.ValidHeaderFieldValue(value) || strings.IndexByte(value, '\r') >= 0 {
			return nil, errField
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		if name == "Host" {
			h.host = value
			hosts++
			continue
		}
		if old := h.header[name]; old != nil {
			h.header[name] = append(old, value)
			continue
		}
		values = append(values, value)
		h.header[name] = values[len(values)-1 : len(values) : len(values)]
	}
	if hosts > 1 || hosts == 0 && !h.last || !httpguts.ValidHostHeader(h.host) {
		return nil, errHost
	}
	return h, h.framing()
}

func (h *head) requestLine(line string) error {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !httpguts.ValidHeaderFieldName(method) || target == "" || target[0] != '/' {
		return errNoRequest
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] >= 0x7f {
			return errNoRequest
		}
	}
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.last, h.old = true, true
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
		return errNoRequest
	}
	h.path = u.Path
	return nil
}

// framing reads the headers by which the body's end and the connection's are known.
func (h *head) framing() error {
	lengths, codings := h.header["Content-Length"], h.header["Transfer-Encoding"]
	switch {
	case len(lengths) > 0 && len(codings) > 0:
		return errTwoLengths
	case len(lengths) > 1 || len(codings) > 1:
		return errBadLength
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil || lengths[0][0] == '+' {
			return errBadLength
		}
		h.length = int64(n)
	case len(codings) == 1:
		if !strings.EqualFold(codings[0], "chunked") || h.last {
			return errCoding
		}
		h.chunked = true
	}
	for _, line := range h.header["Connection"] {
		for _, token := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "close") {
				h.last = true
			}
		}
	}
	if expect := h.header["Expect"]; len(expect) > 0 {
		if len(expect) > 1 || !strings.EqualFold(expect[0], "100-continue") {
			return errExpects
		}
		h.expects = true
	}
	return nil
}

// mostChunkLine bounds a line of a chunked body that holds no data: a size, with extensions, or a trailer.
const mostChunkLine = 1 << 10

// chunks reads a chunked body that comes piece by piece. Extensions and trailers are dropped.
type chunks struct {
	body     []byte // what has not been taken away
	total    int64
	left     int // of the present chunk, with its line end
	trailers int // bytes of them so far
	ending   bool
}

// next takes in b and returns how much of it belongs to the body, and whether its end was there. What is not taken is to
// come again with more behind it.
func (c *chunks) next(b []byte) (taken int, done bool, err error) {
	for {
		if c.left > 2 {
			n := min(c.left-2, len(b)-taken)
			c.body = append(c.body, b[taken:taken+n]...)
			taken += n
			c.left -= n
		}
		if c.left > 2 {
			return taken, false, nil
		}
		if c.left == 2 {
			if len(b)-taken < 2 {
				return taken, false, nil
			}
			if b[taken] != '\r' || b[taken+1] != '\n' {
				return taken, false, errChunk
			}
			taken, c.left = taken+2, 0
		}
		i := bytes.IndexByte(b[taken:], '\n')
		if i > mostChunkLine || i < 0 && len(b)-taken > mostChunkLine {
			return taken, false, errChunk
		}
		if i < 0 {
			return taken, false, nil
		}
		line, ok := bytes.CutSuffix(b[taken:taken+i], []byte{'\r'})
		if !ok {
			return taken, false, errLineEnd
		}
		taken += i + 1
		if c.ending {
			if c.trailers += len(line); c.trailers > maxHeader {
				return taken, false, errLongHead
			}
			if len(line) == 0 {
				return taken, true, nil
			}
			if name, _, ok := bytes.Cut(line, []byte{':'}); !ok || !httpguts.ValidHeaderFieldName(string(name)) {
				return taken, false, errField
			}
			continue
		}
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 31)
		if err != nil || len(size) == 0 || size[0] == '+' || size[0] == '_' {
			return taken, false, errChunk
		}
		if c.total+int64(n) > httpwire.MaxStream {
			return taken, false, errLongBody
		}
		c.total += int64(n)
		c.left, c.ending = int(n)+2, n == 0
		if c.ending {
			c.left = 0
		}
	}
}
