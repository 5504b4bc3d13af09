package msgpackrpc

import (
	"time"
	"unicode/utf8"

	"github.com/tinylib/msgp/msgp"

	"firplank/internal/core"
	codec "firplank/msgpackrpc"
)

// resultLimits bound a server's result in MessagePack that arrived over another protocol.
var resultLimits = codec.Limits{Frame: 64 << 10}

// appendResponse appends the response for a final answer. A result in MessagePack is passed on unchanged; any other becomes a
// string, or bin where it is not UTF-8.
func appendResponse(dst []byte, id uint32, a *core.Answer) []byte {
	switch {
	case a.Kind == core.Refused:
		return appendError(dst, id, "refused", a.Text, a.RetryAfter)
	case a.Kind == core.Failed && a.Reason == core.DuplicateName:
		return appendError(dst, id, "bad_request", a.Text, 0)
	case a.Kind == core.Failed && a.Reason == core.Forbidden:
		return appendError(dst, id, "denied", a.Text, 0)
	case a.Kind == core.Failed:
		return appendError(dst, id, "failed", a.Text, 0)
	case a.ContentType != core.MessagePack:
		if utf8.Valid(a.Body) {
			return codec.AppendResponse(dst, id, nil, msgp.AppendStringFromBytes(nil, a.Body))
		}
		return codec.AppendResponse(dst, id, nil, msgp.AppendBytes(nil, a.Body))
	case a.Meta != nil && codec.CheckValue(a.Body, resultLimits) != nil:
		return appendError(dst, id, "failed", "the server's answer is no MessagePack, as it says", 0)
	case a.ApplicationError:
		return codec.AppendResponse(dst, id, a.Body, nil)
	}
	return codec.AppendResponse(dst, id, nil, a.Body)
}

// appendError appends a response with an error of the sidecar's own. Only the code "refused" means that a retry is safe.
func appendError(dst []byte, id uint32, code, text string, holdOff time.Duration) []byte {
	fields := uint32(2)
	if holdOff > 0 {
		fields++
	}
	e := msgp.AppendMapHeader(make([]byte, 0, 64+len(text)), fields)
	e = msgp.AppendString(msgp.AppendString(e, "code"), code)
	e = msgp.AppendString(msgp.AppendString(e, "message"), text)
	if holdOff > 0 {
		e = msgp.AppendInt64(msgp.AppendString(e, "retry_after_ms"), max(1, holdOff.Milliseconds()))
	}
	return codec.AppendResponse(dst, id, e, nil)
}
