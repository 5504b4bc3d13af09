package http

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"firplank/internal/httpwire"
)

// readRequest parses one request as a connection does, in pieces of step bytes, and returns the bytes after it.
func readRequest(b []byte, step int) (h *head, body, rest []byte, err error) {
	var s headScanner
	end := 0
	for n := 0; end == 0 && err == nil; {
		if n == len(b) {
			return nil, nil, nil, io.ErrUnexpectedEOF
		}
		n = min(n+step, len(b))
		end, err = s.findEnd(b[:n])
	}
	if err == nil {
		h, err = parseHead(b[:end])
	}
	if err != nil {
		return nil, nil, nil, err
	}
	rest = b[end:]
	if h.chunked {
		var c httpwire.ChunkReader
		var received []byte
		for {
			n := min(step, len(rest))
			received, rest = append(received, rest[:n]...), rest[n:]
			taken, done, err := c.Next(received)
			if err != nil {
				return nil, nil, nil, err
			}
			received = received[taken:]
			if done {
				return h, c.Body, append(received, rest...), nil
			}
			if n == 0 {
				return nil, nil, nil, io.ErrUnexpectedEOF
			}
		}
	}
	n := int(max(0, h.length))
	if n > httpwire.MaxBufferedBody {
		return nil, nil, nil, errBodyTooLong
	}
	if len(rest) < n {
		return nil, nil, nil, io.ErrUnexpectedEOF
	}
	return h, rest[:n], rest[n:], nil
}

// A head that two parsers could interpret in different ways is rejected, which prevents request smuggling.
func TestAmbiguousHeadsAreRejected(t *testing.T) {
	const post = "POST /api HTTP/1.1\r\nHost: a\r\n"
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"plain":              {"GET /api?a=%2F HTTP/1.1\r\nHost: a\r\n\r\n", nil},
		"body":               {post + "Content-Length: 2\r\n\r\nab", nil},
		"chunks":             {post + "Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nX: y\r\n\r\n", nil},
		"old":                {"GET / HTTP/1.0\r\n\r\n", nil},
		"bare LF":            {"GET / HTTP/1.1\nHost: a\n\n", httpwire.ErrLineEnd},
		"bare LF later":      {"GET / HTTP/1.1\r\nHost: a\nX: y\r\n\r\n", httpwire.ErrLineEnd},
		"bare CR":            {"GET / HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n", httpwire.ErrMalformedField},
		"folded":             {"GET / HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n", httpwire.ErrFoldedField},
		"space before colon": {"GET / HTTP/1.1\r\nHost: a\r\nX : a\r\n\r\n", httpwire.ErrMalformedField},
		"no colon":           {"GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n", httpwire.ErrMalformedField},
		"control in a value": {"GET / HTTP/1.1\r\nHost: a\r\nX: a\x00\r\n\r\n", httpwire.ErrMalformedField},
		"no host":            {"GET / HTTP/1.1\r\n\r\n", errHost},
		"two hosts":          {"GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", errHost},
		"two spaces":         {"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", errRequestLine},
		"no path":            {"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", errRequestLine},
		"bad escape":         {"GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", errRequestLine},
		"empty first line":   {"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", errRequestLine},
		"another version":    {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", errVersion},
		"two lengths":        {post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", errConflictingLengths},
		"length twice":       {post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab", errBadLength},
		"length with sign":   {post + "Content-Length: +2\r\n\r\nab", errBadLength},
		"length list":        {post + "Content-Length: 2, 2\r\n\r\nab", errBadLength},
		"long body":          {post + "Content-Length: 65537\r\n\r\n", errBodyTooLong},
		"another coding":     {post + "Transfer-Encoding: gzip, chunked\r\n\r\n", errTransferEncoding},
		"another wish":       {post + "Expect: more\r\n\r\n", errExpectation},
		"no chunk":           {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", httpwire.ErrMalformedChunk},
		"chunk too short":    {post + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", httpwire.ErrMalformedChunk},
		"chunks beyond":      {post + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n2000000\r\n", httpwire.ErrBodyTooLong},
		"chunk LF":           {post + "Transfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n", httpwire.ErrLineEnd},
		"head without end":   {"GET / HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", 10000), errHeadTooLong},
	} {
		for _, step := range []int{1, 7, 1 << 20} {
			if _, _, _, err := readRequest([]byte(c.text), step); !errors.Is(err, c.want) {
				t.Errorf("%s by %d: %v, want %v", name, step, err, c.want)
			}
		}
	}
}

// Whatever parseHead accepts, the standard library's parser accepts too, with the same method, target, host, headers and body. The
// result does not depend on the pieces in which the bytes are received.
func FuzzHeadAgainstLibrary(f *testing.F) {
	f.Add([]byte("GET /api?a=b HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: 7\r\n\r\n"), uint8(3))
	f.Add([]byte("POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nX: \t a \r\nx: b\r\n\r\nabc"), uint8(1))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: a:80\r\nTransfer-Encoding: chunked\r\nConnection: x, "+
		"close\r\n\r\n3;e\r\nabc\r\n0\r\nT: r\r\n\r\n"), uint8(200))
	f.Add([]byte("GET /%41?#x HTTP/1.0\r\nExpect: 100-continue\r\n\r\n"), uint8(9))
	f.Fuzz(func(t *testing.T, in []byte, step uint8) {
		h, body, rest, err := readRequest(in, 1<<20)
		h2, body2, rest2, err2 := readRequest(in, int(step)+1)
		if (err == nil) != (err2 == nil) || !bytes.Equal(body, body2) || !bytes.Equal(rest, rest2) || !reflect.DeepEqual(h, h2) {
			t.Fatalf("whole: %+v %q %v; by %d: %+v %q %v", h, body, err, step+1, h2, body2, err2)
		}
		if err != nil {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(in)))
		if err != nil {
			t.Fatalf("the library rejects %q: %v", in, err)
		}
		wantBody, err := io.ReadAll(r.Body)
		if err != nil {
			t.Fatalf("the library rejects the body of %q: %v", in, err)
		}
		for _, name := range []string{"Content-Length", "Transfer-Encoding"} { // the library removes some of these
			h.header.Del(name)
			r.Header.Del(name)
		}
		r.Header.Del("Trailer")
		h.header.Del("Trailer")
		if h.method != r.Method || h.target != r.RequestURI || h.path != r.URL.Path || h.host != r.Host || !bytes.Equal(body, wantBody) ||
			fmt.Sprint(h.header) != fmt.Sprint(r.Header) {
			t.Fatalf("%q: %+v %q, the library %+v %q", in, h, body, r, wantBody)
		}
	})
}

func BenchmarkHead(b *testing.B) {
	text := []byte("GET /api/lookup HTTP/1.1\r\nHost: lab.svc\r\nX-Trace-Id: 0000000000000000\r\nX-Qos: lookup\r\n" +
		"X-Customer: north\r\nX-Object: 7f3a9c21e0b4d655\r\nX-Expires-In: 4000m\r\n\r\n")
	b.Run("ours", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var s headScanner
			end, _ := s.findEnd(text)
			if _, err := parseHead(text[:end]); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("library", func(b *testing.B) {
		b.ReportAllocs()
		reader := bytes.NewReader(text)
		in := bufio.NewReader(reader)
		for b.Loop() {
			reader.Reset(text)
			in.Reset(reader)
			if _, err := http.ReadRequest(in); err != nil {
				b.Fatal(err)
			}
		}
	})
}
