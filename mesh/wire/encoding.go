// Package wire defines what the system's processes send each other and what a control machine keeps on disk, as
// FlatBuffers: the schema (wire.fbs), the code that flatc generates from it, and framing. It has no state, and knows
// neither meanings nor sockets.
//
// The generated code is committed, so that building needs no flatc. Its types whose names end in T hold decoded values.
//
// Begin with wire.fbs, then Encode and ReadFrame.
package wire

import (
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"
	flatbuffers "github.com/google/flatbuffers/go"
)

const (
	// MaxFrameSize bounds a frame that is read, in bytes without its length. The largest holds a configuration.
	MaxFrameSize = 16 << 20
	// LengthSize is the size of the length ahead of a frame on a stream, in bytes.
	LengthSize = 4
	// minTableSize is the least that a FlatBuffers table with its offset takes, in bytes.
	minTableSize = 8
	// initialBufferSize is what an encoder begins with, in bytes; it grows as it has to.
	initialBufferSize = 512
)

var (
	// ErrFrameTooLarge is returned for a frame whose length is above MaxFrameSize.
	ErrFrameTooLarge = errors.New("frame is above the size limit")
	// ErrMalformed is returned for bytes that aren't a frame, or not a state.
	ErrMalformed = errors.New("malformed FlatBuffers table")
)

// Encode returns a frame as it is written to a stream: its length in LengthSize bytes, little endian, then its table.
// Equal values have equal bytes.
func Encode(f *FrameT) []byte {
	table := EncodeDatagram(f)
	out := make([]byte, LengthSize, LengthSize+len(table))
	binary.LittleEndian.PutUint32(out, uint32(len(table)))
	return append(out, table...)
}

// EncodeDatagram returns a frame as it is sent in a datagram: its table alone.
func EncodeDatagram(f *FrameT) []byte {
	b := flatbuffers.NewBuilder(initialBufferSize)
	b.Finish(f.Pack(b))
	return b.FinishedBytes()
}

// Decode returns the frame of a table, as in a datagram. The frame's byte fields are parts of the table, which may not
// be changed after. The error is ErrMalformed.
func Decode(table []byte) (*FrameT, error) {
	return decode(table, func() *FrameT {
		f := GetRootAsFrame(table, 0)
		newBudget(table).frame(f)
		return f.UnPack()
	})
}

// ReadFrame reads one frame from a stream. The error is the reader's, ErrFrameTooLarge or ErrMalformed.
func ReadFrame(r io.Reader) (*FrameT, error) {
	var length [LengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, err
	}
	n := binary.LittleEndian.Uint32(length[:])
	if n > MaxFrameSize {
		return nil, ErrFrameTooLarge
	}
	table := make([]byte, n)
	if _, err := io.ReadFull(r, table); err != nil {
		return nil, err
	}
	return Decode(table)
}

// EncodeState returns a state as it is stored.
func EncodeState(s *StateT) []byte {
	b := flatbuffers.NewBuilder(initialBufferSize)
	b.Finish(s.Pack(b))
	return b.FinishedBytes()
}

// DecodeState returns the state that EncodeState made the bytes of; its byte fields are parts of them. The error is
// ErrMalformed.
func DecodeState(table []byte) (*StateT, error) {
	return decode(table, func() *StateT {
		s := GetRootAsState(table, 0)
		newBudget(table).state(s)
		return s.UnPack()
	})
}

// decode unpacks a table. The generated code panics at offsets that point out of the bytes, and budget at lengths that they don't justify.
func decode[T any](table []byte, unpack func() *T) (value *T, err error) {
	if len(table) < minTableSize {
		return nil, ErrMalformed
	}
	defer func() {
		if recover() != nil {
			value, err = nil, ErrMalformed
		}
	}()
	return unpack(), nil
}
