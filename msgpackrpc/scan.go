package msgpackrpc

import (
	"encoding/binary"
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// The codes of MessagePack that this package names.
const (
	codeNil    = 0xc0
	codeUnused = 0xc1
)

// element describes the value that begins with a byte.
type element struct {
	header   int    // bytes of code and length
	payload  uint64 // bytes behind the header
	children uint64 // values behind it
	complete bool   // the header is there and allowed
}

// lengths holds, for the codes that are followed by a length, how many bytes that has, what is fixed besides, and
// whether it counts values (times so many) in place of bytes.
var lengthFormats = [256]struct{ size, extra, values uint8 }{
	0xc4: {1, 0, 0}, 0xc5: {2, 0, 0}, 0xc6: {4, 0, 0}, // bin
	0xc7: {1, 1, 0}, 0xc8: {2, 1, 0}, 0xc9: {4, 1, 0}, // ext: the type is a byte more
	0xd9: {1, 0, 0}, 0xda: {2, 0, 0}, 0xdb: {4, 0, 0}, // str
	0xdc: {2, 0, 1}, 0xdd: {4, 0, 1}, // array
	0xde: {2, 0, 2}, 0xdf: {4, 0, 2}, // map
}

// fixed holds the payload of the codes whose length is their own.
var fixedPayloads = [256]uint8{
	0xca: 4, 0xcb: 8, // float
	0xcc: 1, 0xcd: 2, 0xce: 4, 0xcf: 8, // uint
	0xd0: 1, 0xd1: 2, 0xd2: 4, 0xd3: 8, // int
	0xd4: 2, 0xd5: 3, 0xd6: 5, 0xd7: 9, 0xd8: 17, // fixext, with its type
}

// describe reads the header of a value; ok is false where more bytes are wanted.
func parseHeader(b []byte) (e element, err error) {
	if len(b) == 0 {
		return e, nil
	}
	code := b[0]
	e = element{header: 1, complete: true}
	switch {
	case code == codeUnused:
		return e, fmt.Errorf("%w: code 0xc1, which is never used", ErrMalformed)
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

// scanner finds the end of a frame in bytes that come piece by piece. It holds a count for each open array or map and
// never calls itself.
type scanner struct {
	limits   Limits
	anyValue bool     // any one value, in place of a frame
	offset   int      // where the next value begins; it may lie beyond what has come
	pending  []uint64 // values yet to come, of each array and map that is open
}

// scan goes on over b, which holds the frame from its first byte, as far as it has come. It reports whether the whole
// frame is there; its length is at. What cannot fit the limits is an error as soon as its header is there.
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
		// Each value takes a byte at least: an array that announces more of them than there is room for is too long
		// before the first has come.
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

// first checks how a frame begins: with an array of three or four.
func checkFrameStart(b []byte) error {
	n, _, err := msgp.ReadArrayHeaderBytes(b)
	switch {
	case err != nil && b[0] >= 'A' && b[0] <= 'Z': // a method, or the version in an answer
		return ErrHTTP
	case err != nil:
		return fmt.Errorf("%w: it begins with 0x%02x, which is no array", ErrMalformed, b[0])
	case n != 3 && n != 4:
		return fmt.Errorf("%w: an array of %d", ErrMalformed, n)
	}
	return nil
}

// CheckValue reports what is wrong with b as one whole value in MessagePack within the limits, of which Frame is for all
// of it.
func CheckValue(b []byte, limits Limits) error {
	s := scanner{limits: limits.withDefaults(), anyValue: true}
	done, err := s.scan(b)
	switch {
	case err != nil:
		return err
	case !done:
		return fmt.Errorf("%w: it ends early", ErrMalformed)
	case s.offset != len(b):
		return fmt.Errorf("%w: %d bytes behind it", ErrMalformed, len(b)-s.offset)
	}
	return nil
}

// CheckParams reports what is wrong with b as params: one whole array within the limits.
func CheckParams(b []byte, limits Limits) error {
	if err := CheckValue(b, limits); err != nil {
		return err
	}
	if msgp.NextType(b) != msgp.ArrayType {
		return fmt.Errorf("%w: params are no array", ErrMalformed)
	}
	return nil
}
