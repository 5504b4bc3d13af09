// Package delta encodes a text as its difference from a base that the receiver has, as copies of runs of the base and
// literal bytes between them (in the way of VCDIFF, RFC 3284, in a format of its own). Applying a delta gives the exact
// bytes of the text or an error, as both texts are named by their hashes. The package has no state, does no I/O, and
// may be used from any goroutine.
//
// A delta is, numbers of the header little endian:
//
//	8  xxHash64 of the base
//	8  xxHash64 of the text
//	   length of the text, an unsigned varint
//	   operations
//
// An operation is an unsigned varint, whose lowest bit is its kind and whose rest is its length in bytes. An insert (0)
// is followed by the bytes, a copy (1) by a signed varint: the distance from the end of the last copy in the base, at
// first from its begin, to this one's begin.
//
// Encode takes an index of the base of one entry per block and one pass over the text; Apply takes the text's bytes and
// nothing else.
//
// Begin with Encode and Apply.
package delta

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

const (
	hashSize   = 8
	headerSize = 2 * hashSize
	// initialSize is what a delta's buffer begins with, in bytes: that of a change of a few routes.
	initialSize = 128
)

// The kinds of operations.
const (
	opInsert = 0
	opCopy   = 1
	kindBits = 1
	kindMask = 1<<kindBits - 1
)

var (
	// ErrWrongBase is returned for a delta from another base.
	ErrWrongBase = errors.New("delta is from another base")
	// ErrMalformed is returned for bytes that aren't a delta, or don't give the text that they name.
	ErrMalformed = errors.New("malformed delta")
)

// Hash names a text.
func Hash(text []byte) uint64 { return xxhash.Sum64(text) }

// Encode returns the delta that leads from a base to a text. Equal arguments give equal bytes.
func Encode(base, text []byte) []byte {
	e := newEncoder(base, text)
	blocks := newIndex(base)
	hash := rollingHash{}
	inserted := 0 // offset in the text up to which operations are written
	expected := 0 // offset in the base where the text would go on
	for offset := 0; offset < len(text); {
		length := commonLength(base, text, expected, offset)
		from := expected
		if length < blockSize {
			from, length = blocks.find(base, text, offset, expected, &hash)
		}
		if length == 0 {
			offset++
			continue
		}
		// The match may begin earlier.
		for offset > inserted && from > 0 && base[from-1] == text[offset-1] {
			from--
			offset--
			length++
		}
		e.insert(text[inserted:offset])
		e.copy(from, length)
		offset += length
		inserted, expected = offset, from+length
	}
	e.insert(text[inserted:])
	return e.out
}

// commonLength returns how many bytes the base from one offset and the text from another have in common.
func commonLength(base, text []byte, from, offset int) int {
	limit := max(0, min(len(base)-from, len(text)-offset))
	for i := range limit {
		if base[from+i] != text[offset+i] {
			return i
		}
	}
	return limit
}

// Apply returns the text that a delta leads to from a base. Texts of more than maxSize bytes are refused. The error is
// ErrWrongBase or ErrMalformed.
func Apply(base, delta []byte, maxSize int) ([]byte, error) {
	if len(delta) < headerSize+1 {
		return nil, ErrMalformed
	}
	if binary.LittleEndian.Uint64(delta) != Hash(base) {
		return nil, ErrWrongBase
	}
	textHash := binary.LittleEndian.Uint64(delta[hashSize:])
	size, operations, ok := readUvarint(delta[headerSize:])
	if !ok || size > uint64(maxSize) {
		return nil, ErrMalformed
	}
	text, ok := applyOperations(base, operations, int(size))
	if !ok || len(text) != int(size) || Hash(text) != textHash {
		return nil, ErrMalformed
	}
	return text, nil
}

// run carries out operations; ok is false where one leaves the bounds of the base, of the operations, or of a text of
// size bytes.
func applyOperations(base, operations []byte, size int) (text []byte, ok bool) {
	text = make([]byte, 0, size)
	offset := int64(0) // in the base, the end of the last copy
	for len(operations) > 0 {
		var operation uint64
		if operation, operations, ok = readUvarint(operations); !ok {
			return nil, false
		}
		length := operation >> kindBits
		if length > uint64(size-len(text)) {
			return nil, false
		}
		if operation&kindMask == opInsert {
			if length > uint64(len(operations)) {
				return nil, false
			}
			text = append(text, operations[:length]...)
			operations = operations[length:]
			continue
		}
		distance, size := binary.Varint(operations)
		if size <= 0 {
			return nil, false
		}
		operations = operations[size:]
		offset += distance
		if offset < 0 || offset > int64(len(base)) || length > uint64(int64(len(base))-offset) {
			return nil, false
		}
		text = append(text, base[offset:offset+int64(length)]...)
		offset += int64(length)
	}
	return text, true
}

// cutUvarint returns the unsigned varint that bytes begin with, and what follows it.
func readUvarint(b []byte) (v uint64, rest []byte, ok bool) {
	v, size := binary.Uvarint(b)
	if size <= 0 {
		return 0, nil, false
	}
	return v, b[size:], true
}

// encoder writes a delta.
type encoder struct {
	out    []byte
	offset int // in the base, the end of the last copy
}

func newEncoder(base, text []byte) *encoder {
	out := binary.LittleEndian.AppendUint64(make([]byte, 0, initialSize), Hash(base))
	out = binary.LittleEndian.AppendUint64(out, Hash(text))
	return &encoder{out: binary.AppendUvarint(out, uint64(len(text)))}
}

func (e *encoder) appendOperation(kind uint64, length int) {
	e.out = binary.AppendUvarint(e.out, uint64(length)<<kindBits|kind)
}

func (e *encoder) insert(literal []byte) {
	if len(literal) == 0 {
		return
	}
	e.appendOperation(opInsert, len(literal))
	e.out = append(e.out, literal...)
}

func (e *encoder) copy(from, length int) {
	e.appendOperation(opCopy, length)
	e.out = binary.AppendVarint(e.out, int64(from-e.offset))
	e.offset = from + length
}
