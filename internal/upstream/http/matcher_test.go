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

// matchAtOnce and matchBytewise find the response in bytes that arrive at once, and one by one.
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
		want       string // the body; empty: no match
		reusable   bool
		wantErr    bool
	}{
		{"own response", ownResponse, "mine", true, false},
		{"surplus response before", otherResponse + ownResponse, "mine", true, false},
		{"two surplus responses before", otherResponse + otherResponse + ownResponse, "mine", true, false},
		{"surplus response after", ownResponse + otherResponse, "mine", false, false},
		{"partial response after", ownResponse + "H", "mine", false, false},
		{"surplus response only", otherResponse, "", false, false},
		{"incomplete", ownResponse[:len(ownResponse)-1], "", false, false},
		{"surplus response with Connection: close",
			"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n" + ownResponse, "", false, true},
		{"own response with Connection: close",
			"HTTP/1.1 200 OK\r\nTry-Id: mine\r\nConnection: close\r\nContent-Length: 1\r\n\r\nm", "m", false, false},
		{"chunked, after a chunked surplus response",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nHTTP/1.1 500 X\r\nTry-Id: " +
				"mine\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nm\r\n0\r\n\r\n", "m", true, false},
		{"noise", "\x00\x01\r\n\r\n" + ownResponse, "", false, true},
	} {
		p, err := matchAtOnce([]byte(c.text))
		switch {
		case (err != nil) != c.wantErr || (p != nil) != (c.want != ""):
			t.Errorf("%s: %+v, %v", c.name, p, err)
		case p != nil && (string(p.Body) != c.want || p.Reusable != c.reusable):
			t.Errorf("%s: %q, reusable %v", c.name, p.Body, p.Reusable)
		}
	}
}

// For any input, the response found names the request, it is the same for any split of the input, and the standard
// library finds the same one.
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
			t.Fatalf("at once %+v, %v; bytewise %+v, %v", whole, err, pieces, errPieces)
		}
		if whole == nil {
			return
		}
		if !isMine(whole.Header) || whole.Status != pieces.Status || !bytes.Equal(whole.Body, pieces.Body) {
			t.Fatalf("at once %+v, bytewise %+v", whole, pieces)
		}
		if want := matchWithLibrary(b); want != nil && (want.Status != whole.Status || !bytes.Equal(want.Body, whole.Body)) {
			t.Fatalf("found %+v, library found %+v", whole, want)
		}
	})
}

// matchWithLibrary reads responses with the standard library until one names the request. It returns nil if there is
// none, or on a response whose end is not delimited.
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
		body       string // empty: no response
		waits      bool
	}{
		{"closed", "HTTP/1.1 201 Created\r\nTry-Id: mine\r\nConnection: close\r\n\r\nmine", true, "mine", false},
		{"still open", "HTTP/1.1 201 Created\r\nTry-Id: mine\r\nConnection: close\r\n\r\nmi", false, "", true},
		{"close not announced", "HTTP/1.1 201 Created\r\nPostmark: p\r\n\r\nmine", true, "", false},
	} {
		in := &responseParser{}
		whole, err := in.parse([]byte(c.text), c.eof)
		if whole != (c.body != "") || (err == nil) != (whole || c.waits) {
			t.Errorf("%s: complete %v, %v", c.name, whole, err)
		}
		if whole && c.text[in.offset:] != c.body {
			t.Errorf("%s: %q", c.name, c.text[in.offset:])
		}
	}
}
