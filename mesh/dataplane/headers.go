package dataplane

import (
	"math"
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

// Headers of the platform, as defined by the users' PROTOCOL.md. Sidecars set and read them; those for which isSidecarHeader is true are
// removed from requests of clients.
var (
	requestIDHeader       = textproto.CanonicalMIMEHeaderKey("Try-Id")        // ID of the request, also in its response
	deadlineHeader        = textproto.CanonicalMIMEHeaderKey("Deadline-Ms")   // time remaining, in milliseconds
	postmarkHeader        = textproto.CanonicalMIMEHeaderKey("Postmark")      // on each successful response of a server
	serverIDHeader        = textproto.CanonicalMIMEHeaderKey("Deliver-To")    // ID of the server that the request is for
	notDeliveredHeader    = textproto.CanonicalMIMEHeaderKey("Not-Delivered") // the server has not run the request
	callerServiceHeader   = textproto.CanonicalMIMEHeaderKey("Sender-Line")   // service of the sender
	retryAfterHeader      = textproto.CanonicalMIMEHeaderKey("Retry-After")
	contentEncodingHeader = textproto.CanonicalMIMEHeaderKey("Content-Encoding")
)

// Headers between sidecars. Names and values must not change, as sidecars of different releases exchange them during an upgrade
// (TestSidecarHeadersMatchRecording).
var (
	// outcomeHeader is the outcome of a request at the last hop, an attempts.Outcome.
	outcomeHeader = textproto.CanonicalMIMEHeaderKey("Firplank-Fate")
	// rankHeader is the rank of the request's route and the number of times it was forwarded before, separated by a dot.
	rankHeader = textproto.CanonicalMIMEHeaderKey("Firplank-Rank")
	// versionHeader is the version of the configuration by which the request was routed, in hexadecimal.
	versionHeader = textproto.CanonicalMIMEHeaderKey("Firplank-Edition")
	// attemptHeader is the ID of an attempt that must not run twice (package attempts), as formatted by formatAttemptID.
	attemptHeader = textproto.CanonicalMIMEHeaderKey("Firplank-Send")
	// queryHeader is the ID of the attempt that a query is about. A query has it in place of the other headers between sidecars.
	queryHeader = textproto.CanonicalMIMEHeaderKey("Firplank-Ask")
	// incarnationHeader is the last hop's incarnation in hexadecimal, in the rejection of an attempt that was sent to another one.
	incarnationHeader = textproto.CanonicalMIMEHeaderKey("Firplank-Life")
)

// maxRemainingMillis bounds the value that is read from deadlineHeader.
const maxRemainingMillis = 1e7

// isSidecarHeader reports whether a header is set only by sidecars, and removed from requests of clients.
func isSidecarHeader(name string) bool {
	switch name {
	case deadlineHeader, serverIDHeader, callerServiceHeader, outcomeHeader, versionHeader, rankHeader, attemptHeader, queryHeader,
		incarnationHeader:
		return true
	}
	return false
}

// ownAnswer returns a response that the sidecar itself generates, with text in its body. It has an outcome if it goes to another sidecar,
// and a Retry-After header if retryAfter is above 0.
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

// remainingMillis returns how long the client still waits, in milliseconds: 0 if its deadline has passed. stated is false without a valid
// deadline header.
func remainingMillis(h http.Header) (remaining float64, stated bool) {
	v, err := strconv.ParseFloat(h.Get(deadlineHeader), 64)
	if err != nil || math.IsNaN(v) {
		return 0, false
	}
	return min(max(0, v), maxRemainingMillis), true
}

// formatIncarnation formats an incarnation for a header, in hexadecimal.
func formatIncarnation(n uint64) string { return strconv.FormatUint(n, 16) }

// parseIncarnation parses an incarnation from a header. It returns 0 if there is none.
func parseIncarnation(text string) uint64 {
	n, ok := parseHex(text)
	if !ok {
		return 0
	}
	return n
}

// formatAttemptID formats an attempt's ID for a header: the sender, its number and the incarnation of the last hop, separated by dots. The
// sender's name may contain dots too.
func formatAttemptID(id attempts.ID) string {
	return id.Sender + "." + strconv.FormatUint(id.Number, 16) + "." + formatIncarnation(id.Incarnation)
}

// parseAttemptID parses the result of formatAttemptID.
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

// cutAtLastDot cuts a text around its last dot.
func cutAtLastDot(text string) (before, after string, ok bool) {
	lastDot := strings.LastIndexByte(text, '.')
	if lastDot < 0 {
		return "", "", false
	}
	return text[:lastDot], text[lastDot+1:], true
}

// appendField appends a header line to a request.
func appendField(dst []byte, name, value string) []byte {
	dst = append(append(dst, name...), ": "...)
	return append(append(dst, value...), "\r\n"...)
}

// appendDeadline appends deadlineHeader with the time remaining, which is at least a millisecond.
func appendDeadline(dst []byte, remaining time.Duration) []byte {
	millis := max(1, float64(remaining)/float64(time.Millisecond))
	return appendField(dst, deadlineHeader, strconv.FormatFloat(millis, 'f', 1, 64))
}

// belongsTo reports whether a response can belong to an attempt: it has the ID of the attempt's request, or none.
func belongsTo(a *core.Attempt, h http.Header) bool {
	id := h.Get(requestIDHeader)
	return id == "" || id == a.Message.Trace
}

// responseOf extracts those properties of a response that are evidence about its attempt.
func responseOf(a *core.Attempt, status int, h http.Header) attempts.Response {
	id := h.Get(requestIDHeader)
	return attempts.Response{
		Success:        isSuccess(status),
		Postmarked:     postmarked(h),
		MatchesRequest: id != "" && id == a.Message.Trace,
		NotDelivered:   h.Get(notDeliveredHeader) != "" || status == http.StatusMisdirectedRequest,
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// postmarked reports whether a successful response can come from a server itself: it has a postmark and an ID, and no content encoding, as
// none was requested.
func postmarked(h http.Header) bool {
	return h.Get(postmarkHeader) != "" && h.Get(requestIDHeader) != "" && h.Get(contentEncodingHeader) == ""
}

// messageOf converts a request to a message that shares the request's headers. A body that is still being received is in bodyStream.
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

// routePath returns the path by which a request is routed: the encoded one, which servers get too. An encoded slash is not a path separator
// (RFC 3986, section 2.2).
func routePath(r *httpfront.Request) string {
	path, _, _ := strings.Cut(r.Target, "?")
	if path == "" {
		return r.Path
	}
	return path
}
