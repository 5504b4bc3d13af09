package http

import (
	"bytes"
	"net/http"
)

// Pairing finds the answer to the one request that is out on a connection among the bytes that come on it, as a
// connection that is polled does. It has no socket, so that it can be explored.
type Pairing struct {
	in  []byte
	ans incoming
}

// Paired is an answer that was found.
type Paired struct {
	Status   int
	Header   http.Header
	Body     []byte
	Reusable bool // the connection may carry another request
}

// Take takes in what has come, or with eof that nothing follows. ours reports whether an answer belongs to the request;
// one that does not is dropped. It returns the answer once it is complete; after an error none can follow.
func (p *Pairing) Take(b []byte, eof bool, ours func(http.Header) bool) (*Paired, error) {
	p.in = append(p.in, b...)
	for {
		whole, err := p.ans.next(p.in, eof)
		if err != nil || !whole {
			return nil, err
		}
		h := p.ans.head
		if ours(h.header) {
			body, rest := p.ans.body(p.in)
			return &Paired{h.status, h.header, bytes.Clone(body), !h.last && rest == 0 && !eof}, nil
		}
		left, more := p.ans.surplus(p.in, eof)
		if !more {
			return nil, errCutShort
		}
		p.in, p.ans = bytes.Clone(left), incoming{}
		if len(p.in) == 0 {
			return nil, nil
		}
	}
}
