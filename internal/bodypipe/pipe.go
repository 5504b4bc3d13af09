// Package bodypipe forwards a message body from a reader to a writer of different speeds through a bounded buffer. Either side
// blocks with a time-out or registers a callback. The package owns the buffered bytes and how the body ended; it knows no
// protocol.
//
// Start reading at Pipe.
package bodypipe

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// ErrStalled says that the other side made no progress within the time-out.
var ErrStalled = errors.New("body: the other side stalled")

// errClosed is returned to a side that continues after the end.
var errClosed = errors.New("body: closed")

// BufferLimit bounds the buffered bytes, not counting the chunk that was appended last.
const BufferLimit = 32 << 10

// Pipe carries one body. All methods are safe for concurrent use, with one writing and one reading goroutine at a time.
// Callbacks run without the lock, on the goroutine whose call caused them.
type Pipe struct {
	length int64 // announced length in bytes; -1: unknown

	mu         sync.Mutex
	buf        []byte
	start      int   // offset in buf of the first unread byte
	consumed   int64 // bytes read
	writeErr   error // why the writer ended; io.EOF: the body is complete
	complete   bool  // writeErr is io.EOF
	readErr    error // why the reader ended
	onData     func()
	onSpace    func() // called once
	onEnd      []func(complete bool)
	onAbort    func()        // called once
	dataReady  chan struct{} // capacity one
	spaceReady chan struct{}
}

// New returns a pipe for a body of a length in bytes, -1 if unknown.
func New(length int64) *Pipe {
	return &Pipe{length: length, dataReady: make(chan struct{}, 1), spaceReady: make(chan struct{}, 1)}
}

// Length returns the announced length in bytes, -1 if unknown.
func (p *Pipe) Length() int64 { return p.length }

// Consumed reports whether any byte has been read, after which the body cannot be sent again.
func (p *Pipe) Consumed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.consumed > 0
}

// buffers are reused between pipes.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, BufferLimit); return &b }}

// Append appends a chunk, regardless of BufferLimit. It fails once the reader has closed, with the reader's error.
func (p *Pipe) Append(b []byte) error {
	p.mu.Lock()
	if p.readErr != nil || p.writeErr != nil {
		err := p.readErr
		if err == nil {
			err = errClosed
		}
		p.mu.Unlock()
		return err
	}
	if p.buf == nil {
		p.buf = (*buffers.Get().(*[]byte))[:0]
	}
	if p.start > 0 && len(p.buf)+len(b) > cap(p.buf) {
		p.buf = p.buf[:copy(p.buf, p.buf[p.start:])]
		p.start = 0
	}
	p.buf = append(p.buf, b...)
	onData := p.onData
	p.mu.Unlock()
	notify(p.dataReady)
	if onData != nil {
		onData()
	}
	return nil
}

// WriteTimeout appends a chunk once there is space, or fails with ErrStalled after the time-out.
func (p *Pipe) WriteTimeout(b []byte, timeout time.Duration) error {
	if p.Space() <= 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		for p.Space() <= 0 && p.isOpen() {
			select {
			case <-p.spaceReady:
			case <-timer.C:
				return ErrStalled
			}
		}
	}
	return p.Append(b)
}

func (p *Pipe) isOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readErr == nil && p.writeErr == nil
}

// Space returns how many bytes may be appended before the writer has to wait; it may be negative.
func (p *Pipe) Space() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return BufferLimit - (len(p.buf) - p.start)
}

// OnSpace registers fn to be called once, when at least half of the buffer is free or the reader has closed. If that holds
// already it returns false, and fn is not called.
func (p *Pipe) OnSpace(fn func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readErr != nil || len(p.buf)-p.start <= BufferLimit/2 {
		return false
	}
	p.onSpace = fn
	return true
}

// CloseWrite ends the body: complete if err is nil, truncated otherwise. A cause that is io.EOF is reported as
// io.ErrUnexpectedEOF, since io.EOF is the end of a complete body.
func (p *Pipe) CloseWrite(err error) {
	complete := err == nil
	switch {
	case complete:
		err = io.EOF
	case errors.Is(err, io.EOF):
		err = fmt.Errorf("%s: %w", err.Error(), io.ErrUnexpectedEOF)
	}
	p.mu.Lock()
	first := p.writeErr == nil
	if first {
		p.writeErr, p.complete = err, complete
	}
	onData, callEnd := p.onData, p.takeEndCallbacks()
	p.mu.Unlock()
	if !first {
		return
	}
	notify(p.dataReady)
	if onData != nil {
		onData()
	}
	callEnd()
}

// OnData registers fn to be called after each appended chunk, and at the end.
func (p *Pipe) OnData(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onData = fn
}

// OnEnd registers fn to be called once, when the body has been read to its end or either side has aborted it, after the functions that
// were registered before.
func (p *Pipe) OnEnd(fn func(complete bool)) {
	p.mu.Lock()
	p.onEnd = append(p.onEnd, fn)
	callEnd := p.takeEndCallbacks()
	p.mu.Unlock()
	callEnd()
}

// OnAbort registers fn to be called once, when the reader closes.
func (p *Pipe) OnAbort(fn func()) {
	p.mu.Lock()
	aborted := p.readErr != nil
	if !aborted {
		p.onAbort = fn
	}
	p.mu.Unlock()
	if aborted {
		fn()
	}
}

// takeEndCallbacks returns a call of the end callbacks, to be made without the lock, if the body has ended. The caller holds mu.
func (p *Pipe) takeEndCallbacks() func() {
	complete := p.complete && p.start == len(p.buf)
	if len(p.onEnd) == 0 || !complete && p.readErr == nil && (p.writeErr == nil || p.complete) {
		return func() {}
	}
	callbacks := p.onEnd
	p.onEnd = nil
	return func() {
		for _, fn := range callbacks {
			fn(complete)
		}
	}
}

// TakeAppend reads up to limit bytes and appends them to dst. It returns io.EOF with the last byte of a complete body, or
// the cause with that of a truncated one; without an error an empty result means that no byte is buffered yet.
func (p *Pipe) TakeAppend(dst []byte, limit int) ([]byte, error) {
	p.mu.Lock()
	if p.readErr != nil {
		p.mu.Unlock()
		return dst, p.readErr
	}
	n := min(limit, len(p.buf)-p.start)
	dst = append(dst, p.buf[p.start:p.start+n]...)
	p.start += n
	p.consumed += int64(n)
	var err error
	if p.start == len(p.buf) {
		p.release()
		err = p.writeErr
	}
	var onSpace func()
	if len(p.buf)-p.start <= BufferLimit/2 {
		onSpace, p.onSpace = p.onSpace, nil
	}
	callEnd := p.takeEndCallbacks()
	p.mu.Unlock()
	if n > 0 {
		notify(p.spaceReady)
	}
	if onSpace != nil {
		onSpace()
	}
	callEnd()
	return dst, err
}

// release returns the buffer to the pool. The caller holds mu, and nothing is buffered.
func (p *Pipe) release() {
	if p.buf != nil && cap(p.buf) <= 4*BufferLimit {
		b := p.buf[:0]
		buffers.Put(&b)
	}
	p.buf, p.start = nil, 0
}

// ReadTimeout reads into b and waits for the first byte until the time-out, when it returns ErrStalled. It ends as
// TakeAppend does.
func (p *Pipe) ReadTimeout(b []byte, timeout time.Duration) (int, error) {
	var timer *time.Timer
	for {
		read, err := p.TakeAppend(b[:0], len(b))
		if len(read) > 0 || err != nil {
			return len(read), err
		}
		if timer == nil {
			timer = time.NewTimer(timeout)
			defer timer.Stop()
		}
		select {
		case <-p.dataReady:
		case <-timer.C:
			return 0, ErrStalled
		}
	}
}

// CloseRead aborts the body: writes fail with err from now on.
func (p *Pipe) CloseRead(err error) {
	if err == nil {
		err = errClosed
	}
	p.mu.Lock()
	if p.readErr != nil {
		p.mu.Unlock()
		return
	}
	p.readErr = err
	callEnd := p.takeEndCallbacks()
	p.release()
	onSpace, onAbort := p.onSpace, p.onAbort
	p.onSpace, p.onAbort = nil, nil
	p.mu.Unlock()
	notify(p.spaceReady)
	notify(p.dataReady)
	if onSpace != nil {
		onSpace()
	}
	if onAbort != nil {
		onAbort()
	}
	callEnd()
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
