// Package delta encodes a text as its difference from a base that the receiver has: copies of byte ranges of the base,
// and literal bytes between them (like VCDIFF, RFC 3284, but in its own format). Applying a delta gives the exact bytes
// of the text or an error, as the delta contains the hashes of both texts. The package has no state and does no I/O, and
// its functions may be called concurrently.
//
// The format of a delta, with sizes in bytes and the hashes in little endian, is:
//
//	8  xxHash64 of the base
//	8  xxHash64 of the text
//	   length of the text, an unsigned varint
//	   operations
//
// An operation starts with an unsigned varint. Its lowest bit is the kind, the other bits are the length in bytes. An
// insert (0) is followed by the bytes. A copy (1) is followed by a signed varint: the distance in the base from the end
// of the last copy (initially offset 0) to the start of this one.
//
// Encode allocates an index of the base with one entry per block, and makes one pass over the text. Apply allocates only
// the text.
//
// Start reading at Encode and Apply.
package delta

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

const (
	hashSize   = 8
	headerSize = 2 * hashSize
	// initialSize is the initial capacity of a delta's buffer in bytes, enough for a change of a few routes.
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
	// ErrWrongBase is returned if the delta was made from another base.
	ErrWrongBase = errors.New("delta is from another base")
	// ErrMalformed is returned for bytes that aren't a valid delta, or whose result doesn't match the text's length and hash.
	ErrMalformed = errors.New("malformed delta")
)

// Hash returns the hash that identifies a text in a delta.
func Hash(text []byte) uint64 { return xxhash.Sum64(text) }

// Encode returns the delta that leads from a base to a text. Equal arguments give equal bytes.
func Encode(base, text []byte) []byte {
	e := newEncoder(base, text)
	blocks := newIndex(base)
	hash := rollingHash{}
	inserted := 0 // offset in the text up to which operations are written
	expected := 0 // offset in the base after the last copy, where the next match is most likely
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
		// Extend the match backwards.
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

// commonLength returns the length of the common prefix of base[from:] and text[offset:].
func commonLength(base, text []byte, from, offset int) int {
	limit := max(0, min(len(base)-from, len(text)-offset))
	for i := range limit {
		if base[from+i] != text[offset+i] {
			return i
		}
	}
	return limit
}

// Apply returns the text that results from applying a delta to a base. Texts of more than maxSize bytes are rejected.
// The error is ErrWrongBase or ErrMalformed.
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

// applyOperations returns the text that operations produce from base. ok is false if an operation exceeds the bounds of
// the base, of the operations, or of a text of size bytes.
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
		distance, distanceBytes := binary.Varint(operations)
		if distanceBytes <= 0 {
			return nil, false
		}
		operations = operations[distanceBytes:]
		offset += distance
		if offset < 0 || offset > int64(len(base)) || length > uint64(int64(len(base))-offset) {
			return nil, false
		}
		text = append(text, base[offset:offset+int64(length)]...)
		offset += int64(length)
	}
	return text, true
}

// readUvarint returns the unsigned varint at the start of b, and the bytes after it.
func readUvarint(b []byte) (v uint64, rest []byte, ok bool) {
	v, size := binary.Uvarint(b)
	if size <= 0 {
		return 0, nil, false
	}
	return v, b[size:], true
}

// encoder appends the header and the operations of a delta to a buffer.
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
