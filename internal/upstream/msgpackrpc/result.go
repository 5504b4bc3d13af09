package msgpackrpc

import (
	"strconv"

	"github.com/tinylib/msgp/msgp"

	"firplank/balance"
	"firplank/internal/core"
	codec "firplank/msgpackrpc"
)

// appendRequest appends a message as a request. Parameters in MessagePack are passed on unchanged; a value that is not an array
// becomes the only parameter, as does any other body as bin. An empty body has no parameter.
func appendRequest(dst []byte, id uint32, m *core.Message, limits codec.Limits) []byte {
	method := m.Method
	if method == "" {
		method = m.Target
	}
	return codec.AppendRequest(dst, id, method, paramsOf(m, limits))
}

// paramsOf returns the encoded parameters of a message.
func paramsOf(m *core.Message, limits codec.Limits) []byte {
	switch {
	case len(m.Body) == 0:
		return msgp.AppendArrayHeader(nil, 0)
	case m.ContentType != core.MessagePack:
	case m.Meta == nil: // checked by the codec already
		return m.Body
	case codec.CheckParams(m.Body, limits) == nil:
		return m.Body
	case codec.CheckValue(m.Body, limits) == nil:
		return append(msgp.AppendArrayHeader(nil, 1), m.Body...)
	}
	return msgp.AppendBytes(msgp.AppendArrayHeader(nil, 1), m.Body)
}

// result returns the outcome that a response means. It retains nothing of the frame.
func (b *Backend) result(f *codec.Frame) core.Result {
	if !f.Failed() {
		body := append([]byte(nil), f.Result...)
		return core.Result{Outcome: balance.OK, Answer: &core.Answer{ContentType: core.MessagePack, Body: body}}
	}
	code := errorCode(f.Error)
	switch {
	case b.neverRan[code]:
		return core.Result{Outcome: balance.Rejected}
	case b.applicationErrors[code] || b.applicationErrors["*"]:
		body := append([]byte(nil), f.Error...)
		return core.Result{
			Outcome: balance.OK, Answer: &core.Answer{ApplicationError: true, ContentType: core.MessagePack, Body: body},
		}
	}
	return core.Result{Outcome: balance.Failed}
}

// errorCode returns the code of an error: a string or integer itself, of a map the value of its key "code", of an array the first
// element; empty where there is none. The error is one complete value of bounded depth.
func errorCode(b []byte) string {
	switch msgp.NextType(b) {
	case msgp.StrType:
		v, _, _ := msgp.ReadStringZC(b)
		return string(v)
	case msgp.IntType:
		v, _, _ := msgp.ReadInt64Bytes(b)
		return strconv.FormatInt(v, 10)
	case msgp.UintType:
		v, _, _ := msgp.ReadUint64Bytes(b)
		return strconv.FormatUint(v, 10)
	case msgp.ArrayType:
		if n, rest, err := msgp.ReadArrayHeaderBytes(b); err == nil && n > 0 && msgp.NextType(rest) != msgp.ArrayType {
			return errorCode(rest)
		}
	case msgp.MapType:
		n, rest, _ := msgp.ReadMapHeaderBytes(b)
		for range n {
			isCode := false
			if msgp.NextType(rest) == msgp.StrType {
				key, _, err := msgp.ReadStringZC(rest)
				isCode = err == nil && string(key) == "code"
			}
			value, err := msgp.Skip(rest)
			if err != nil {
				return ""
			}
			if t := msgp.NextType(value); isCode && t != msgp.MapType && t != msgp.ArrayType {
				return errorCode(value)
			}
			if rest, err = msgp.Skip(value); err != nil {
				return ""
			}
		}
	}
	return ""
}
