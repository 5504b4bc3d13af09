package msgpackrpc

import "github.com/tinylib/msgp/msgp"

// AppendRequest appends a request to dst. params is an encoded MessagePack array and is written unchanged.
func AppendRequest(dst []byte, id uint32, method string, params []byte) []byte {
	dst = msgp.AppendUint8(msgp.AppendArrayHeader(dst, 4), uint8(Request))
	return append(msgp.AppendString(msgp.AppendUint32(dst, id), method), params...)
}

// AppendResponse appends a response to dst. failure and result are encoded MessagePack values and are written unchanged;
// an empty one is written as nil.
func AppendResponse(dst []byte, id uint32, failure, result []byte) []byte {
	dst = msgp.AppendUint8(msgp.AppendArrayHeader(dst, 4), uint8(Response))
	return appendValue(appendValue(msgp.AppendUint32(dst, id), failure), result)
}

// AppendNotification appends a notification to dst. params is an encoded MessagePack array and is written unchanged.
func AppendNotification(dst []byte, method string, params []byte) []byte {
	dst = msgp.AppendUint8(msgp.AppendArrayHeader(dst, 3), uint8(Notification))
	return append(msgp.AppendString(dst, method), params...)
}

func appendValue(dst, value []byte) []byte {
	if len(value) == 0 {
		return msgp.AppendNil(dst)
	}
	return append(dst, value...)
}
