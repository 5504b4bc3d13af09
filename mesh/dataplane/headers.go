package dataplane

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"firplank/internal/bodypipe"
	"firplank/internal/core"
	httpfront "firplank/internal/front/http"
	"firplank/internal/httpwire"
	"firplank/mesh/attempts"
)

// Headers of the platform, as the users' PROTOCOL.md has them. Sidecars set and read them; those of them that isSidecarHeader names are
// never passed on from a client.
var (
	requestIDHeader       = textproto.CanonicalMIMEHeaderKey("Try-Id")        // of the request; its response carries it too
	deadlineHeader        = textproto.CanonicalMIMEHeaderKey("Deadline-Ms")   // time left, in milliseconds
	postmarkHeader        = textproto.CanonicalMIMEHeaderKey("Postmark")      // on each success of a server
	serverIDHeader        = textproto.CanonicalMIMEHeaderKey("Deliver-To")    // of the server that is meant
	notDeliveredHeader    = textproto.CanonicalMIMEHeaderKey("Not-Delivered") // the server has not run the request
	callerServiceHeader   = textproto.CanonicalMIMEHeaderKey("Sender-Line")   // the service that sends
	retryAfterHeader      = textproto.CanonicalMIMEHeaderKey("Retry-After")
	contentEncodingHeader = textproto.CanonicalMIMEHeaderKey("Content-Encoding")
)

// Headers between sidecars. Old and new sidecars read one another's while a release goes on: names and values stay as they are
// (TestHeadersBetweenSidecarsAreAsRecorded).
var (
	// outcomeHeader is what became of a request at the last hop, an attempts.Outcome.
	outcomeHeader = textproto.CanonicalMIMEHeaderKey("Firplank-Fate")
	// rankHeader is the rank of the request's route and how often it was forwarded before, parted by a dot.
	rankHeader = textproto.CanonicalMIMEHeaderKey("Firplank-Rank")
	// versionHeader is the version of the configuration by which the request was routed, hexadecimal.
	versionHeader = textproto.CanonicalMIMEHeaderKey("Firplank-Edition")
	// attemptHeader is the id of an attempt that must not run twice (package attempts), as formatAttemptID writes it.
	attemptHeader = textproto.CanonicalMIMEHeaderKey("Firplank-Send")
	// queryHeader is the id of the attempt that a query is about, in place of all else.
	queryHeader = textproto.CanonicalMIMEHeaderKey("Firplank-Ask")
	// incarnationHeader is the last hop's incarnation, in the rejection of an attempt that was sent to another one; hexadecimal.
	incarnationHeader = textproto.CanonicalMIMEHeaderKey("Firplank-Life")
)

// maxRemainingMillis bounds how long a client may wait, by its deadlineHeader.
const maxRemainingMillis = 1e7

// isSidecarHeader reports whether a header is set by sidecars alone, and dropped from what clients send.
func isSidecarHeader(name string) bool {
	switch name {
	case deadlineHeader, serverIDHeader, callerServiceHeader, outcomeHeader, versionHeader, rankHeader, attemptHeader, queryHeader,
		incarnationHeader:
		return true
	}
	return false
}

// ownAnswer is a response of the sidecar itself: with an outcome, if it goes to another sidecar, and with a time for the client to stay
// away, if it is above 0. The texts go over the wire in the body.
func ownAnswer(status int, outcome attempts.Outcome, text string, retryAfter time.Duration) *core.Answer {
	kind := core.Failed
	meta := map[string][]string{"Content-Type": {"text/plain; charset=utf-8"}}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		kind = core.Refused
	}
	if retryAfter > 0 {
		meta[retryAfterHeader] = []string{strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)}
	}
	if outcome != "" {
		meta[outcomeHeader] = []string{string(outcome)}
	}
	return &core.Answer{Kind: kind, Status: status, Meta: meta, Body: []byte(text + "\n")}
}

// remainingMillis is how long the client waits, in milliseconds; 0: it names no deadline.
func remainingMillis(h http.Header) float64 {
	v, err := strconv.ParseFloat(h.Get(deadlineHeader), 64)
	if err != nil || !(v > 0) {
		return 0
	}
	return min(v, maxRemainingMillis)
}

// formatIncarnation is an incarnation as headers carry it, which is hexadecimal.
func formatIncarnation(n uint64) string { return strconv.FormatUint(n, 16) }

// parseIncarnation parses an incarnation as headers carry it; 0: there is none.
func parseIncarnation(text string) uint64 {
	n, ok := parseHex(text)
	if !ok {
		return 0
	}
	return n
}

// formatAttemptID is an attempt's id as headers carry it: the sender, its number and the incarnation of the last hop, parted by dots. The
// sender's name may have dots of its own.
func formatAttemptID(id attempts.ID) string {
	return id.Sender + "." + strconv.FormatUint(id.Number, 16) + "." + formatIncarnation(id.Incarnation)
}

// parseAttemptID parses what formatAttemptID has written.
func parseAttemptID(text string) (id attempts.ID, ok bool) {
	rest, incarnation, ok := cutAtLastDot(text)
	if !ok {
		return id, false
	}
	sender, number, ok := cutAtLastDot(rest)
	if !ok || sender == "" {
		return id, false
	}
	id.Sender = sender
	if id.Number, ok = parseHex(number); !ok || id.Number == 0 {
		return attempts.ID{}, false
	}
	if id.Incarnation, ok = parseHex(incarnation); !ok {
		return attempts.ID{}, false
	}
	return id, true
}

// parseHex parses a hexadecimal number.
func parseHex(text string) (n uint64, ok bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	return n, err == nil
}

// cutLast cuts a text at its last dot.
func cutAtLastDot(text string) (before, after string, ok bool) {
	lastDot := strings.LastIndexByte(text, '.')
	if lastDot < 0 {
		return "", "", false
	}
	return text[:lastDot], text[lastDot+1:], true
}

// appendField appends a header's line to a request.
func appendField(dst []byte, name, value string) []byte {
	dst = append(append(dst, name...), ": "...)
	return append(append(dst, value...), "\r\n"...)
}

// appendDeadline appends the header with the time that is left, which is a millisecond at least.
func appendDeadline(dst []byte, remaining time.Duration) []byte {
	millis := max(1, float64(remaining)/float64(time.Millisecond))
	return appendField(dst, deadlineHeader, strconv.FormatFloat(millis, 'f', 1, 64))
}

// belongsTo reports whether a response can be that to an attempt: it carries the id of its request, or none.
func belongsTo(a *core.Attempt, h http.Header) bool {
	id := h.Get(requestIDHeader)
	return id == "" || id == a.Message.Trace
}

// responseOf is what evidence is drawn from in a response to an attempt.
func responseOf(a *core.Attempt, status int, h http.Header) attempts.Response {
	id := h.Get(requestIDHeader)
	return attempts.Response{
		Success:        isSuccess(status),
		Postmarked:     postmarked(h),
		MatchesRequest: id != "" && id == a.Message.Trace,
		NotDelivered:   h.Get(notDeliveredHeader) != "" || status == http.StatusMisdirectedRequest,
	}
}

// isSuccess reports whether a status is a success.
func isSuccess(status int) bool { return status >= 200 && status < 300 }

// postmarked reports whether a response of success can be a server's own: it has postmark and id, and no encoding that nobody asked for.
func postmarked(h http.Header) bool {
	return h.Get(postmarkHeader) != "" && h.Get(requestIDHeader) != "" && h.Get(contentEncodingHeader) == ""
}

// messageOf makes a message of a request, whose body may still be coming. The message takes over the request's headers.
func messageOf(r *httpfront.Request, body []byte, bodyStream *bodypipe.Pipe) core.Message {
	httpwire.RemoveHopByHop(r.Header)
	return core.Message{
		Trace:         r.Header.Get(requestIDHeader),
		Verb:          r.Method,
		Target:        r.Target,
		Authority:     r.Host,
		Meta:          r.Header,
		Body:          body,
		Stream:        bodyStream,
		AcceptsStream: true,
	}
}

// routePath is the path by which a request is routed: as it was sent, as servers get it too. An encoded slash is no slash (RFC 3986, 2.2).
func routePath(r *httpfront.Request) string {
	path, _, _ := strings.Cut(r.Target, "?")
	if path == "" {
		return r.Path
	}
	return path
}
