// Package msgpackrpc reads and writes the frames of MessagePack-RPC, by its public specification
// (msgpack-rpc/msgpack-rpc, spec.md) over that of MessagePack (msgpack/msgpack, spec.md):
//
//	request       [0, id, method, params]
//	response      [1, id, error, result]
//	notification  [2, method, params]
//
// It owns the framing and its limits, and nothing else: params, errors and results are passed on as the bytes that came,
// neither decoded nor encoded again. It knows no connection, no deadline and no routing.
//
// Headers, integers and strings are read and written by tinylib/msgp. Only where a frame ends, and whether it keeps the
// limits, is found by a scanner of this package's own, which goes on where it stopped when more bytes have come: the
// libraries decode or skip values that are whole, and bound neither depth nor length before that. The tests hold the
// scanner against another library.
//
// Begin with Reader.
package msgpackrpc

import (
	"errors"
	"fmt"
	"io"
	"math"
	"unicode/utf8"

	"github.com/tinylib/msgp/msgp"
)

// Limits bound what a reader takes. A field that is 0 has its default.
type Limits struct {
	Frame  int // bytes of a frame; 64 KiB
	Depth  int // arrays and maps within one another, the frame's own array among them; 32
	Method int // bytes of a method's name; 256
}

func (l Limits) withDefaults() Limits {
	if l.Frame <= 0 {
		l.Frame = 64 << 10
	}
	if l.Depth <= 0 {
		l.Depth = 32
	}
	if l.Method <= 0 {
		l.Method = 256
	}
	return l
}

// What is wrong with a frame. After any of them the place in the stream is lost, and the connection of no further use.
var (
	ErrTooLong   = errors.New("msgpackrpc: a frame beyond its limit")
	ErrTooDeep   = errors.New("msgpackrpc: a frame nested beyond its limit")
	ErrMalformed = errors.New("msgpackrpc: no frame")
	ErrHTTP      = fmt.Errorf("%w: the peer speaks HTTP", ErrMalformed)
)

// Kind is the kind of a frame, by its number on the wire.
type Kind uint8

// The kinds.
const (
	Request Kind = iota
	Response
	Notification
)

// Frame is a frame as it came. Its slices hold MessagePack, each one whole value, and are valid until the reader's next
// call.
type Frame struct {
	Kind   Kind
	ID     uint32 // of a Request or Response
	Method []byte // of a Request or Notification: UTF-8
	Params []byte // of a Request or Notification: an array
	Error  []byte // of a Response: nil where it went well
	Result []byte // of a Response
}

// Failed reports whether a response holds an error.
func (f *Frame) Failed() bool { return !msgp.IsNil(f.Error) }

// Reader reads frames from a stream. It holds one frame at a time, of Limits.Frame bytes at most, and allocates no more
// than twice what has come of it, whatever lengths are announced. It is not safe for concurrent use.
type Reader struct {
	src          io.Reader
	limits       Limits
	buf          []byte // what has come; the present frame begins at start
	start        int
	frameBytes   int      // bytes of buf that belong to the frame returned last
	pending      []uint64 // the scanner's, kept for the next frame
	lastReadFull bool     // the last read filled the buffer
	err          error
}

// firstBuffer is what a reader allocates for a connection that says little, and mostBuffer what it may grow to for one
// that says much, whose frames are short.
const initialBufferBytes, busyBufferBytes = 512, 16 << 10

// NewReader returns a reader of the frames of from, which need not be buffered.
func NewReader(src io.Reader, limits Limits) *Reader {
	return &Reader{src: src, limits: limits.withDefaults()}
}

// Next returns the next frame. It returns io.EOF where the stream ends between two frames, io.ErrUnexpectedEOF where it
// ends within one, one of this package's errors, or what the stream failed with. An error is final.
func (r *Reader) Next() (Frame, error) {
	if r.err != nil {
		return Frame{}, r.err
	}
	f, err := r.next()
	r.err = err
	return f, err
}

func (r *Reader) next() (Frame, error) {
	r.start += r.frameBytes
	r.frameBytes = 0
	s := scanner{limits: r.limits, pending: r.pending[:0]}
	defer func() { r.pending = s.pending }()
	for {
		done, err := s.scan(r.buf[r.start:])
		if err != nil {
			return Frame{}, err
		}
		if done {
			r.frameBytes = s.offset
			return r.parse(r.buf[r.start : r.start+s.offset])
		}
		if err := r.fill(); err != nil {
			if errors.Is(err, io.EOF) && len(r.buf) > r.start {
				err = io.ErrUnexpectedEOF
			}
			return Frame{}, err
		}
	}
}

// Buffered returns how many bytes have come that belong to no frame returned so far.
func (r *Reader) Buffered() int { return len(r.buf) - r.start - r.frameBytes }

// fill reads more of the stream. What was returned before makes room for it.
func (r *Reader) fill() error {
	if r.start > 0 {
		r.buf = r.buf[:copy(r.buf, r.buf[r.start:])]
		r.start = 0
	}
	switch {
	case len(r.buf) == 0 && cap(r.buf) > initialBufferBytes && !r.lastReadFull:
		r.buf = make([]byte, 0, initialBufferBytes) // what a long frame or a rush took is given back
	case len(r.buf) == cap(r.buf) || r.lastReadFull && cap(r.buf) < busyBufferBytes:
		bigger := make([]byte, len(r.buf), max(initialBufferBytes, 2*cap(r.buf)))
		copy(bigger, r.buf)
		r.buf = bigger
	}
	for range 100 { // as bufio does with a reader that returns nothing
		n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		r.lastReadFull = n > 0 && len(r.buf) == cap(r.buf)
		if n > 0 {
			return nil // an error comes again
		}
		if err != nil {
			return err
		}
	}
	return io.ErrNoProgress
}

// counts is how many elements the frame of each kind has.
var elementCounts = [...]uint32{Request: 4, Response: 4, Notification: 3}

// parse takes a whole frame apart.
func (r *Reader) parse(b []byte) (f Frame, err error) {
	n, b, _ := msgp.ReadArrayHeaderBytes(b)
	kind, b, err := msgp.ReadUint64Bytes(b)
	if err != nil || kind > uint64(Notification) {
		return f, fmt.Errorf("%w: its kind is not 0, 1 or 2", ErrMalformed)
	}
	f.Kind = Kind(kind)
	if want := elementCounts[f.Kind]; n != want {
		return f, fmt.Errorf("%w: %d elements where %d are wanted", ErrMalformed, n, want)
	}
	if f.Kind != Notification {
		id, rest, err := msgp.ReadUint64Bytes(b)
		if err != nil || id > math.MaxUint32 {
			return f, fmt.Errorf("%w: its id is no number of 32 bits", ErrMalformed)
		}
		f.ID, b = uint32(id), rest
	}
	if f.Kind == Response {
		rest, err := msgp.Skip(b) // as deep as the limit, at the most
		if err != nil {
			return f, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		f.Error, f.Result = b[:len(b)-len(rest)], rest
		return f, nil
	}
	f.Method, f.Params, err = msgp.ReadStringZC(b)
	if err != nil || len(f.Method) > r.limits.Method || !utf8.Valid(f.Method) {
		return f, fmt.Errorf("%w: its method is no string of at most %d bytes", ErrMalformed, r.limits.Method)
	}
	if msgp.NextType(f.Params) != msgp.ArrayType {
		return f, fmt.Errorf("%w: its params are no array", ErrMalformed)
	}
	return f, nil
}
