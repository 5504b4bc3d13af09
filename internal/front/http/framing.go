package http

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"firplank/internal/httpwire"
)

var (
	errConflictingLengths = errors.New("a request with both Content-Length and Transfer-Encoding")
	errBadLength          = errors.New("a request whose Content-Length is repeated or no number")
)

// maxLinePrefix is how many bytes of a head's line are kept: enough for the framing headers' names and values.
const maxLinePrefix = 64

// requestScanner finds the start and end of requests in the bytes of a client's connection. It detects what net/http hides:
// net/http drops Content-Length if a request is chunked too, and what is body by the one length becomes the next request by the
// other (request smuggling). The scanner rejects such a request and withholds the last byte of its head, on which net/http answers
// 400 and closes.
type requestScanner struct {
	line                []byte // prefix of the current line of a head
	inHead              bool
	isRequestLine       bool  // the current line is the first one
	contentLength       int64 // of the current head; -1: none
	hasTransferEncoding bool  // of the current head
	bodyLeft            int64 // bytes of the body that are not received yet
	unscanned           bool  // the request is chunked: the rest is not scanned, and the connection closes after this request
	err                 error

	started   atomic.Int64 // requests of which a byte was received
	completed atomic.Int64 // requests whose last byte was received; a chunked one counts from its head
	startedAt atomic.Int64 // start of the latest request, Unix nanoseconds
}

// partial reports whether a request is incomplete, and when it started.
func (f *requestScanner) partial() (startedAt time.Time, partial bool) {
	return time.Unix(0, f.startedAt.Load()), f.started.Load() > f.completed.Load()
}

// scan processes bytes that were read and returns how many of them may be passed on; fewer than all only with f.err set.
func (f *requestScanner) scan(p []byte, now time.Time) int {
	for rest := p; len(rest) > 0; {
		switch {
		case f.unscanned:
			return len(p)
		case f.bodyLeft > 0:
			n := min(f.bodyLeft, int64(len(rest)))
			f.bodyLeft -= n
			rest = rest[n:]
			if f.bodyLeft == 0 {
				f.completed.Add(1)
			}
		default:
			end := bytes.IndexByte(rest, '\n')
			if end < 0 {
				f.appendLine(rest, now)
				return len(p)
			}
			f.appendLine(rest[:end], now)
			if f.err = f.endLine(); f.err != nil {
				return len(p) - len(rest) + end
			}
			rest = rest[end+1:]
		}
	}
	return len(p)
}

// appendLine appends to the current line of a head.
func (f *requestScanner) appendLine(part []byte, now time.Time) {
	if !f.inHead {
		f.inHead, f.isRequestLine, f.hasTransferEncoding, f.contentLength = true, true, false, -1
		f.line = f.line[:0]
		f.startedAt.Store(now.UnixNano())
		f.started.Add(1)
	}
	f.line = append(f.line, part[:min(len(part), maxLinePrefix-len(f.line))]...)
}

// endLine processes a complete line of a head; an empty line ends the head.
func (f *requestScanner) endLine() error {
	line := strings.TrimSuffix(string(f.line), "\r")
	f.line = f.line[:0]
	if line == "" {
		return f.endHead()
	}
	isRequestLine := f.isRequestLine
	f.isRequestLine = false
	if isRequestLine {
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		return httpwire.ErrFoldedField
	}
	name, value, _ := strings.Cut(line, ":")
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "transfer-encoding":
		f.hasTransferEncoding = true
	case "content-length":
		n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 63)
		if err != nil || f.contentLength >= 0 {
			return errBadLength
		}
		f.contentLength = int64(n)
	}
	return nil
}

func (f *requestScanner) endHead() error {
	f.inHead = false
	switch {
	case f.hasTransferEncoding && f.contentLength >= 0:
		return errConflictingLengths
	case f.hasTransferEncoding:
		f.unscanned = true
	default:
		f.bodyLeft = max(f.contentLength, 0)
	}
	if f.bodyLeft == 0 {
		f.completed.Add(1)
	}
	return nil
}
