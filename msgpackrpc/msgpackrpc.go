// Package msgpackrpc reads and writes the frames of MessagePack-RPC, as in its public specification
// (msgpack-rpc/msgpack-rpc, spec.md) and that of MessagePack (msgpack/msgpack, spec.md):
//
//	request       [0, id, method, params]
//	response      [1, id, error, result]
//	notification  [2, method, params]
//
// The package handles framing and its limits only. Params, errors and results are passed on as encoded bytes.
// Connections, deadlines and routing are up to the caller.
//
// Headers, integers and strings are read and written by tinylib/msgp. The end of a frame and its limits are checked by
// an incremental scanner in this package, which continues where it stopped when more bytes arrive. The libraries need
// complete values to decode or skip, and bound neither depth nor length before. The tests compare the scanner with
// another library.
//
// Start reading at Reader.
package msgpackrpc

import (
	"errors"
	"fmt"
	"io"
	"math"
	"unicode/utf8"

	"github.com/tinylib/msgp/msgp"
)

// Limits bound the frames that a Reader accepts. A zero field has its default.
type Limits struct {
	Frame  int // bytes of a frame; default 64 KiB
	Depth  int // nesting of arrays and maps, including the frame's own array; default 32
	Method int // bytes of a method name; default 256
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

// Errors in a frame. After any of them the frame boundaries are lost, and the connection can't be used further.
var (
	ErrTooLong   = errors.New("msgpackrpc: frame beyond its limit")
	ErrTooDeep   = errors.New("msgpackrpc: frame nested beyond its limit")
	ErrMalformed = errors.New("msgpackrpc: malformed frame")
	ErrHTTP      = fmt.Errorf("%w: the peer speaks HTTP", ErrMalformed)
)

// Kind is the type of a frame, as encoded.
type Kind uint8

// The frame types.
const (
	Request Kind = iota
	Response
	Notification
)

// Frame is a received frame. Its slices hold one complete encoded MessagePack value each, and are valid until the next
// call of the reader.
type Frame struct {
	Kind   Kind
	ID     uint32 // of a Request or Response
	Method []byte // of a Request or Notification: UTF-8
	Params []byte // of a Request or Notification: an array
	Error  []byte // of a Response: nil if the call succeeded
	Result []byte // of a Response
}

// Failed reports whether a response holds an error.
func (f *Frame) Failed() bool { return !msgp.IsNil(f.Error) }

// Reader reads frames from a stream. It buffers one frame at a time, of at most Limits.Frame bytes, and allocates at
// most twice the bytes received of it, whatever lengths it announces. It is not safe for concurrent use.
type Reader struct {
	src          io.Reader
	limits       Limits
	buf          []byte // received bytes; the current frame begins at start
	start        int
	frameBytes   int      // bytes of the frame that was returned last
	pending      []uint64 // of the scanner, reused for the next frame
	lastReadFull bool     // the last read filled the buffer
	err          error
}

// initialBufferBytes is the buffer size for a connection with little traffic, and busyBufferBytes the size up to which
// the buffer grows for many short frames.
const initialBufferBytes, busyBufferBytes = 512, 16 << 10

// NewReader returns a reader of the frames in src, which needn't be buffered.
func NewReader(src io.Reader, limits Limits) *Reader {
	return &Reader{src: src, limits: limits.withDefaults()}
}

// Next returns the next frame. The error is io.EOF if the stream ends between two frames, io.ErrUnexpectedEOF if it ends
// within one, an error of this package, or the error of the stream. Errors are final.
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

// Buffered returns the number of received bytes that belong to no frame returned so far.
func (r *Reader) Buffered() int { return len(r.buf) - r.start - r.frameBytes }

// fill reads more of the stream. It overwrites frames that were returned before.
func (r *Reader) fill() error {
	if r.start > 0 {
		r.buf = r.buf[:copy(r.buf, r.buf[r.start:])]
		r.start = 0
	}
	switch {
	case len(r.buf) == 0 && cap(r.buf) > initialBufferBytes && !r.lastReadFull:
		r.buf = make([]byte, 0, initialBufferBytes) // release the memory that a long frame or heavy traffic needed
	case len(r.buf) == cap(r.buf) || r.lastReadFull && cap(r.buf) < busyBufferBytes:
		bigger := make([]byte, len(r.buf), max(initialBufferBytes, 2*cap(r.buf)))
		copy(bigger, r.buf)
		r.buf = bigger
	}
	for range 100 { // like bufio, for a reader that returns no bytes
		n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		r.lastReadFull = n > 0 && len(r.buf) == cap(r.buf)
		if n > 0 {
			return nil // the next Read returns the error again
		}
		if err != nil {
			return err
		}
	}
	return io.ErrNoProgress
}

// elementCounts is the number of elements in each type of frame.
var elementCounts = [...]uint32{Request: 4, Response: 4, Notification: 3}

// parse parses a complete frame.
func (r *Reader) parse(b []byte) (f Frame, err error) {
	n, b, _ := msgp.ReadArrayHeaderBytes(b)
	kind, b, err := msgp.ReadUint64Bytes(b)
	if err != nil || kind > uint64(Notification) {
		return f, fmt.Errorf("%w: type is not 0, 1 or 2", ErrMalformed)
	}
	f.Kind = Kind(kind)
	if want := elementCounts[f.Kind]; n != want {
		return f, fmt.Errorf("%w: %d elements, want %d", ErrMalformed, n, want)
	}
	if f.Kind != Notification {
		id, rest, err := msgp.ReadUint64Bytes(b)
		if err != nil || id > math.MaxUint32 {
			return f, fmt.Errorf("%w: id is not an unsigned integer of 32 bits", ErrMalformed)
		}
		f.ID, b = uint32(id), rest
	}
	if f.Kind == Response {
		rest, err := msgp.Skip(b) // recursion is bounded by Limits.Depth
		if err != nil {
			return f, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		f.Error, f.Result = b[:len(b)-len(rest)], rest
		return f, nil
	}
	f.Method, f.Params, err = msgp.ReadStringZC(b)
	if err != nil || len(f.Method) > r.limits.Method || !utf8.Valid(f.Method) {
		return f, fmt.Errorf("%w: method is not a UTF-8 string of at most %d bytes", ErrMalformed, r.limits.Method)
	}
	if msgp.NextType(f.Params) != msgp.ArrayType {
		return f, fmt.Errorf("%w: params are not an array", ErrMalformed)
	}
	return f, nil
}
