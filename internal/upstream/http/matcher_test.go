package http

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

const (
	ownResponse   = "HTTP/1.1 200 OK\r\nTry-Id: mine\r\nPostmark: p\r\nContent-Length: 4\r\n\r\nmine"
	otherResponse = "HTTP/1.1 200 OK\r\nTry-Id: other\r\nPostmark: p\r\nContent-Length: 5\r\n\r\nother"
)

func isMine(h http.Header) bool { return h.Get("Try-Id") == "mine" }

// pairWhole and pairInPieces find the answer in what comes at once, and byte by byte.
func matchAtOnce(b []byte) (*MatchedResponse, error) {
	return new(ResponseMatcher).Feed(b, false, isMine)
}

func matchBytewise(b []byte) (found *MatchedResponse, err error) {
	p := new(ResponseMatcher)
	for i := range b {
		if found, err = p.Feed(b[i:i+1], false, isMine); found != nil || err != nil {
			return found, err
		}
	}
	return nil, nil
}

func TestMatcherFindsOwnResponse(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       string // the body; empty: none is found
		reusable   bool
		hopeless   bool
	}{
		{"its own", ownResponse, "mine", true, false},
		{"a surplus one ahead of it", otherResponse + ownResponse, "mine", true, false},
		{"two ahead of it", otherResponse + otherResponse + ownResponse, "mine", true, false},
		{"a surplus one behind it", ownResponse + otherResponse, "mine", false, false},
		{"part of one behind it", ownResponse + "H", "mine", false, false},
		{"another's alone", otherResponse, "", false, false},
		{"not whole", ownResponse[:len(ownResponse)-1], "", false, false},
		{"another's, and the end is announced",
			"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" + ownResponse, "", false, true},
		{"the end is announced with it", "HTTP/1.1 200 OK\r\nTry-Id: mine\r\nConnection: close\r\nContent-Length: 1\r\n\r\nm", "m", false, false},
		{"in chunks, behind another's in chunks",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nHTTP/1.1 500 X\r\nTry-Id: " +
				"mine\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nm\r\n0\r\n\r\n", "m", true, false},
		{"noise", "\x00\x01\r\n\r\n" + ownResponse, "", false, true},
	} {
		p, err := matchAtOnce([]byte(c.text))
		switch {
		case (err != nil) != c.hopeless || (p != nil) != (c.want != ""):
			t.Errorf("%s: %+v, %v", c.name, p, err)
		case p != nil && (string(p.Body) != c.want || p.Reusable != c.reusable):
			t.Errorf("%s: %q, reusable %v", c.name, p.Body, p.Reusable)
		}
	}
}

// FuzzPairing: whatever comes on a connection, the answer that is found names the request, it is the same in whatever
// pieces it comes, and the standard library finds it at the same place.
func FuzzPairing(f *testing.F) {
	for _, text := range []string{
		ownResponse, otherResponse + ownResponse, ownResponse + otherResponse,
		otherResponse, ownResponse[:20], otherResponse[:30] + ownResponse,
		"HTTP/1.1 100 Continue\r\n\r\n" + ownResponse, "HTTP/1.1 503 Full\r\nNot-Delivered: 1\r\nContent-Length: 0\r\n\r\n" + ownResponse,
		"HTTP/1.1 200 OK\r\nTry-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\nTry-Id: mine\n\n" + "mine",
		"HTTP/1.1 204 None\r\nTry-Id: mine\r\n\r\n" + otherResponse, "HTTP/1.1 500 X\r\nTry-Id: mine\r\n\r\nendless",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		whole, err := matchAtOnce(b)
		pieces, errPieces := matchBytewise(b)
		if (whole == nil) != (pieces == nil) || whole == nil && (err == nil) != (errPieces == nil) {
			t.Fatalf("at once %+v, %v; in pieces %+v, %v", whole, err, pieces, errPieces)
		}
		if whole == nil {
			return
		}
		if !isMine(whole.Header) || whole.Status != pieces.Status || !bytes.Equal(whole.Body, pieces.Body) {
			t.Fatalf("at once %+v, in pieces %+v", whole, pieces)
		}
		if want := matchWithLibrary(b); want != nil && (want.Status != whole.Status || !bytes.Equal(want.Body, whole.Body)) {
			t.Fatalf("found %+v, the library %+v", whole, want)
		}
	})
}

// byLibrary reads answers one after the other until one names the request; nil where it finds none, or one whose end it does not know.
func matchWithLibrary(b []byte) *MatchedResponse {
	for r := bufio.NewReader(bytes.NewReader(b)); ; {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return nil
		}
		if resp.StatusCode < 200 {
			continue
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return nil
		}
		if isMine(resp.Header) {
			return &MatchedResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}
		}
	}
}

func TestResponseDelimitedByClose(t *testing.T) {
	for _, c := range []struct {
		name, text string
		eof        bool
		body       string // empty: it is no answer
		waits      bool
	}{
		{"it ends", "HTTP/1.1 201 Created\r\nTry-Id: mine\r\nConnection: close\r\n\r\nmine", true, "mine", false},
		{"it goes on", "HTTP/1.1 201 Created\r\nTry-Id: mine\r\nConnection: close\r\n\r\nmi", false, "", true},
		{"nobody says that it ends", "HTTP/1.1 201 Created\r\nPostmark: p\r\n\r\nmine", true, "", false},
	} {
		in := &responseParser{}
		whole, err := in.parse([]byte(c.text), c.eof)
		if whole != (c.body != "") || (err == nil) != (whole || c.waits) {
			t.Errorf("%s: whole %v, %v", c.name, whole, err)
		}
		if whole && c.text[in.offset:] != c.body {
			t.Errorf("%s: %q", c.name, c.text[in.offset:])
		}
	}
}
