// Package httpwire contains what the downstream and upstream sides of HTTP/1.1 share: strict parsing of header fields
// and chunked bodies, the removal of hop-by-hop fields, and the names and limits of the platform's protocol.
package httpwire

import (
	"net/http"
	"strings"
)

// Names and bounds of the platform's protocol. Sizes are in bytes.
const (
	MaxBufferedBody = 64 << 10       // of a body that is buffered
	MaxStreamedBody = 32 << 20       // of a body that is streamed
	ExpiryHeader    = "X-Expires-In" // how long the client waits for the response
)

// hopHeaders are the hop-by-hop fields, in canonical form, which are not forwarded (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the hop-by-hop fields from h, those that Connection names among them.
func RemoveHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}
