package msgpackrpc

import "encoding/binary"

// AppendRequest appends a request to dst. params is an array in MessagePack and goes on as it is.
func AppendRequest(dst []byte, id uint32, method string, params []byte) []byte {
	dst = appendUint32(append(dst, 0x94, byte(Request)), id)
	return append(AppendString(dst, method), params...)
}

// AppendResponse appends a response to dst. failure and result are values in MessagePack and go on as they are; an
// empty one is nil.
func AppendResponse(dst []byte, id uint32, failure, result []byte) []byte {
	dst = appendUint32(append(dst, 0x94, byte(Response)), id)
	return appendValue(appendValue(dst, failure), result)
}

// AppendNotification appends a notification to dst. params is an array in MessagePack and goes on as it is.
func AppendNotification(dst []byte, method string, params []byte) []byte {
	return append(AppendString(append(dst, 0x93, byte(Notification)), method), params...)
}

func appendValue(dst, value []byte) []byte {
	if len(value) == 0 {
		return append(dst, codeNil)
	}
	return append(dst, value...)
}

// appendUint32 writes a number in its shortest form.
func appendUint32(dst []byte, v uint32) []byte {
	switch {
	case v <= 0x7f:
		return append(dst, byte(v))
	case v <= 0xff:
		return append(dst, 0xcc, byte(v))
	case v <= 0xffff:
		return binary.BigEndian.AppendUint16(append(dst, 0xcd), uint16(v))
	}
	return binary.BigEndian.AppendUint32(append(dst, 0xce), v)
}

// AppendString appends a string in its shortest form; one of 4 GiB or more cannot be written and is cut.
func AppendString(dst []byte, text string) []byte {
	switch n := len(text); {
	case n <= 31:
		dst = append(dst, 0xa0|byte(n))
	case n <= 0xff:
		dst = append(dst, 0xd9, byte(n))
	case n <= 0xffff:
		dst = binary.BigEndian.AppendUint16(append(dst, 0xda), uint16(n))
	default:
		text = text[:min(n, 0xffffffff)]
		dst = binary.BigEndian.AppendUint32(append(dst, 0xdb), uint32(len(text)))
	}
	return append(dst, text...)
}
