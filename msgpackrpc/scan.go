package msgpackrpc

import (
	"encoding/binary"
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// MessagePack codes used by name.
const (
	codeNil    = 0xc0
	codeUnused = 0xc1
)

// element is the parsed header of a value.
type element struct {
	header   int    // bytes of the code and length
	payload  uint64 // bytes after the header
	children uint64 // values after the header
	complete bool   // the header was received completely
}

// lengthFormats holds, for the codes followed by a length: the size of the length in bytes, the bytes to add to it, and,
// if it counts values instead of bytes, how many values each one stands for.
var lengthFormats = [256]struct{ size, extra, values uint8 }{
	0xc4: {1, 0, 0}, 0xc5: {2, 0, 0}, 0xc6: {4, 0, 0}, // bin
	0xc7: {1, 1, 0}, 0xc8: {2, 1, 0}, 0xc9: {4, 1, 0}, // ext: one more byte for the type
	0xd9: {1, 0, 0}, 0xda: {2, 0, 0}, 0xdb: {4, 0, 0}, // str
	0xdc: {2, 0, 1}, 0xdd: {4, 0, 1}, // array
	0xde: {2, 0, 2}, 0xdf: {4, 0, 2}, // map
}

// fixedPayloads holds the payload size of the codes with a fixed one.
var fixedPayloads = [256]uint8{
	0xca: 4, 0xcb: 8, // float
	0xcc: 1, 0xcd: 2, 0xce: 4, 0xcf: 8, // uint
	0xd0: 1, 0xd1: 2, 0xd2: 4, 0xd3: 8, // int
	0xd4: 2, 0xd5: 3, 0xd6: 5, 0xd7: 9, 0xd8: 17, // fixext, with its type
}

// parseHeader parses the header of a value. complete is false if more bytes are needed.
func parseHeader(b []byte) (e element, err error) {
	if len(b) == 0 {
		return e, nil
	}
	code := b[0]
	e = element{header: 1, complete: true}
	switch {
	case code == codeUnused:
		return e, fmt.Errorf("%w: code 0xc1 is never used", ErrMalformed)
	case code <= 0x7f || code >= 0xe0: // fixint
	case code <= 0x8f:
		e.children = 2 * uint64(code&0x0f)
	case code <= 0x9f:
		e.children = uint64(code & 0x0f)
	case code <= 0xbf:
		e.payload = uint64(code & 0x1f)
	case lengthFormats[code].size > 0:
		l := lengthFormats[code]
		e.header += int(l.size)
		if len(b) < e.header {
			return element{}, nil
		}
		n := bigEndian(b[1:e.header])
		if l.values > 0 {
			e.children = n * uint64(l.values)
		} else {
			e.payload = n + uint64(l.extra)
		}
	default:
		e.payload = uint64(fixedPayloads[code])
	}
	return e, nil
}

func bigEndian(b []byte) uint64 {
	switch len(b) {
	case 1:
		return uint64(b[0])
	case 2:
		return uint64(binary.BigEndian.Uint16(b))
	case 4:
		return uint64(binary.BigEndian.Uint32(b))
	}
	return binary.BigEndian.Uint64(b)
}

// scanner finds the end of a frame incrementally. It keeps a count for each open array or map instead of recursing.
type scanner struct {
	limits   Limits
	anyValue bool     // accepts any single value instead of a frame
	offset   int      // start of the next value; may exceed the bytes received
	pending  []uint64 // outstanding values of each open array and map
}

// scan continues with b, all the bytes received of the frame, and reports whether the frame is complete; its length is
// offset then. A header that announces more than the limits allow is an error at once.
func (s *scanner) scan(b []byte) (done bool, err error) {
	for {
		if s.offset > 0 && len(s.pending) == 0 {
			return s.offset <= len(b), nil
		}
		if s.offset >= len(b) {
			return false, nil
		}
		e, err := parseHeader(b[s.offset:])
		if err != nil || !e.complete {
			return false, err
		}
		if s.offset == 0 && !s.anyValue {
			if err := checkFrameStart(b); err != nil {
				return false, err
			}
		}
		// Each value needs at least one byte, so an array that announces more values than the frame limit leaves bytes
		// for is too long.
		remaining := uint64(s.limits.Frame - s.offset)
		if uint64(e.header)+e.payload > remaining || uint64(e.header)+e.children > remaining {
			return false, ErrTooLong
		}
		s.offset += e.header + int(e.payload)
		if len(s.pending) > 0 {
			s.pending[len(s.pending)-1]--
		}
		if e.children > 0 {
			if len(s.pending) >= s.limits.Depth {
				return false, ErrTooDeep
			}
			s.pending = append(s.pending, e.children)
		}
		for len(s.pending) > 0 && s.pending[len(s.pending)-1] == 0 {
			s.pending = s.pending[:len(s.pending)-1]
		}
	}
}

// checkFrameStart checks that a frame begins with an array of three or four elements.
func checkFrameStart(b []byte) error {
	n, _, err := msgp.ReadArrayHeaderBytes(b)
	switch {
	case err != nil && b[0] >= 'A' && b[0] <= 'Z': // an HTTP method, or the version in a response
		return ErrHTTP
	case err != nil:
		return fmt.Errorf("%w: begins with 0x%02x, which is not an array", ErrMalformed, b[0])
	case n != 3 && n != 4:
		return fmt.Errorf("%w: an array of %d", ErrMalformed, n)
	}
	return nil
}

// CheckValue returns an error unless b is exactly one complete MessagePack value within the limits. Limits.Frame applies
// to the whole value.
func CheckValue(b []byte, limits Limits) error {
	s := scanner{limits: limits.withDefaults(), anyValue: true}
	done, err := s.scan(b)
	switch {
	case err != nil:
		return err
	case !done:
		return fmt.Errorf("%w: value is incomplete", ErrMalformed)
	case s.offset != len(b):
		return fmt.Errorf("%w: %d bytes after the value", ErrMalformed, len(b)-s.offset)
	}
	return nil
}

// CheckParams returns an error unless b is exactly one complete array within the limits.
func CheckParams(b []byte, limits Limits) error {
	if err := CheckValue(b, limits); err != nil {
		return err
	}
	if msgp.NextType(b) != msgp.ArrayType {
		return fmt.Errorf("%w: params are not an array", ErrMalformed)
	}
	return nil
}
