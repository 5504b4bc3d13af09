package http

import (
	"errors"
	"strings"
	"testing"
	"time"

	"firplank/internal/httpwire"
)

func TestRequestScanner(t *testing.T) {
	const get = "GET /api HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, c := range map[string]struct {
		text  string
		want  error
		begun int64
	}{
		"no body":          {get, nil, 1},
		"two":              {get + get, nil, 2},
		"body":             {"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde" + get, nil, 2},
		"body like a head": {"POST / HTTP/1.1\r\ncontent-length:23\r\n\r\nTransfer-Encoding: x\r\n\n", nil, 1},
		"chunked":          {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get, nil, 1},
		"both":             {"POST / HTTP/1.1\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n", errConflictingLengths, 1},
		"both, otherwise":  {"POST / HTTP/1.1\nTRANSFER-ENCODING: x\nContent-Length: 9\n\n", errConflictingLengths, 1},
		"both, the second": {get + "POST / HTTP/1.1\r\nTransfer-Encoding : a\r\nContent-Length : 0\r\n\r\n", errConflictingLengths, 2},
		"both, long": {"POST / HTTP/1.1\r\nTransfer-Encoding: " + strings.Repeat("x", 500) +
			"\r\nContent-Length: 1\r\n\r\n", errConflictingLengths, 1},
		"repeated":       {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", errBadLength, 1},
		"negative":       {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", errBadLength, 1},
		"beyond numbers": {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", errBadLength, 1},
		"folded":         {"POST / HTTP/1.1\r\nX: 1\r\n Content-Length: 1\r\n\r\n", httpwire.ErrFoldedField, 1},
	} {
		for _, step := range []int{1, 7, len(c.text)} { // in pieces of this size
			f := &requestScanner{}
			passed := 0
			for rest := []byte(c.text); len(rest) > 0 && f.err == nil; {
				n := min(step, len(rest))
				passed += f.scan(rest[:n], time.Now())
				rest = rest[n:]
			}
			if !errors.Is(f.err, c.want) || f.started.Load() != c.begun {
				t.Errorf("%s by %d: %v after %d heads, want %v after %d", name, step, f.err, f.started.Load(), c.want, c.begun)
			}
			if whole := passed == len(c.text); whole != (c.want == nil) {
				t.Errorf("%s by %d: %d of %d bytes passed on", name, step, passed, len(c.text))
			}
		}
	}
}

// The result does not depend on the pieces in which the bytes are received, and no byte is passed on after an error.
func FuzzFraming(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcdeGET / HTTP/1.1\r\n\r\n"), uint8(3))
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), uint8(1))
	f.Add([]byte("\r\n\n: \nContent-Length:\n\n"), uint8(0))
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		whole, parts := &requestScanner{}, &requestScanner{}
		passed := whole.scan(text, time.Now())
		if (passed == len(text)) != (whole.err == nil) {
			t.Errorf("%d of %d bytes passed on with %v", passed, len(text), whole.err)
		}
		passedInParts := 0
		for rest := text; len(rest) > 0 && parts.err == nil; {
			n := min(int(step)+1, len(rest))
			passedInParts += parts.scan(rest[:n], time.Now())
			rest = rest[n:]
		}
		if passedInParts != passed || !errors.Is(parts.err, whole.err) || parts.started.Load() != whole.started.Load() {
			t.Errorf("whole: %d, %v; in parts: %d, %v", passed, whole.err, passedInParts, parts.err)
		}
		if len(whole.line) > maxLinePrefix {
			t.Errorf("kept %d bytes of a line", len(whole.line))
		}
	})
}
