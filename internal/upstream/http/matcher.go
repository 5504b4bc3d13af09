package http

import (
	"bytes"
	"net/http"
)

// Pairing finds the answer to the one request that is out on a connection among the bytes that come on it, as a
// connection that is polled does. It has no socket, so that it can be explored.
type ResponseMatcher struct {
	received []byte
	parser   responseParser
}

// Paired is an answer that was found.
type MatchedResponse struct {
	Status   int
	Header   http.Header
	Body     []byte
	Reusable bool // the connection may carry another request
}

// Take takes in what has come, or with eof that nothing follows. ours reports whether an answer belongs to the request;
// one that does not is dropped. It returns the answer once it is complete; after an error none can follow.
func (p *ResponseMatcher) Feed(b []byte, eof bool, matches func(http.Header) bool) (*MatchedResponse, error) {
	p.received = append(p.received, b...)
	for {
		complete, err := p.parser.parse(p.received, eof)
		if err != nil || !complete {
			return nil, err
		}
		h := p.parser.head
		if matches(h.header) {
			body, trailing := p.parser.body(p.received)
			return &MatchedResponse{h.status, h.header, bytes.Clone(body), !h.willClose && trailing == 0 && !eof}, nil
		}
		unread, usable := p.parser.discard(p.received, eof)
		if !usable {
			return nil, errResponseTruncated
		}
		p.received, p.parser = bytes.Clone(unread), responseParser{}
		if len(p.received) == 0 {
			return nil, nil
		}
	}
}
