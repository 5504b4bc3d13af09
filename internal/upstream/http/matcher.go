package http

import (
	"bytes"
	"net/http"
)

// ResponseMatcher finds the response to the request in flight among the bytes received on a connection, as polled
// connections do. It uses no socket, so that the explorer can check it.
type ResponseMatcher struct {
	received []byte
	parser   responseParser
}

// MatchedResponse is a response that a ResponseMatcher found.
type MatchedResponse struct {
	Status   int
	Header   http.Header
	Body     []byte
	Reusable bool // the connection may carry another request
}

// Feed adds received bytes; eof reports that no more follow. matches reports whether a response belongs to the request;
// others are dropped. Feed returns the response once it is complete, and nil before. After an error none can follow.
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
