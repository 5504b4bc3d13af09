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

// headLine is what is kept of a line of a head: enough for the names and figures that framing goes by.
const maxLinePrefix = 64

// framing follows the bytes of one connection of the application and tells where requests begin and end. It is
// there for what net/http hides: that drops Content-Length where a request is chunked too, and reads what
// the one length calls body as the next request by the other. Such a request is taken for what it is here, and
// its last byte is held back: net/http answers 400 and closes.
type requestScanner struct {
	line                []byte // the start of the present line of a head
	inHead              bool
	isRequestLine       bool  // the present line is the first one
	contentLength       int64 // announced by the present head; -1 where none is
	hasTransferEncoding bool  // the present head has a Transfer-Encoding
	bodyLeft            int64 // bytes of the body yet to come
	unscanned           bool  // chunked: what follows is not followed, and the connection ends with this request
	err                 error

	started   atomic.Int64 // requests of which a byte has come
	completed atomic.Int64 // ... and their last, as far as can be told
	startedAt atomic.Int64 // when the last one began, Unix nanoseconds
}

// partial tells whether a request is on its way that is not whole, and when it began.
func (f *requestScanner) partial() (startedAt time.Time, partial bool) {
	return time.Unix(0, f.startedAt.Load()), f.started.Load() > f.completed.Load()
}

// scan takes in what was read and returns how many of the bytes may go on; fewer than all only with f.err set.
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

// keep adds to the present line of a head.
func (f *requestScanner) appendLine(part []byte, now time.Time) {
	if !f.inHead {
		f.inHead, f.isRequestLine, f.hasTransferEncoding, f.contentLength = true, true, false, -1
		f.line = f.line[:0]
		f.startedAt.Store(now.UnixNano())
		f.started.Add(1)
	}
	f.line = append(f.line, part[:min(len(part), maxLinePrefix-len(f.line))]...)
}

// endLine takes in a line of a head; an empty one ends it.
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
