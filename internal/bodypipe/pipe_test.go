package bodypipe

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Each byte is read once and in order, and no more is buffered than BufferLimit and one chunk.
func TestBytesArriveOnceInOrderWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(-1)
		var written, read []byte
		next := byte(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "put") && p.Space() > 0 {
				chunk := make([]byte, rapid.IntRange(0, 20000).Draw(t, "piece"))
				for i := range chunk {
					next++
					chunk[i] = next
				}
				if err := p.Append(chunk); err != nil {
					t.Fatal(err)
				}
				written = append(written, chunk...)
			} else {
				var err error
				if read, err = p.TakeAppend(read, rapid.IntRange(1, 20000).Draw(t, "most")); err != nil {
					t.Fatal(err)
				}
			}
			if buffered := len(written) - len(read); buffered > BufferLimit+20000 || BufferLimit-buffered != p.Space() {
				t.Fatalf("%d bytes are buffered, space for %d", buffered, p.Space())
			}
		}
		p.CloseWrite(nil)
		var err error
		for err == nil {
			read, err = p.TakeAppend(read, 5000)
		}
		if !errors.Is(err, io.EOF) || !bytes.Equal(written, read) {
			t.Fatalf("%d bytes written, %d read, %v", len(written), len(read), err)
		}
	})
}

// A writer waits for a slower reader, and all bytes arrive.
func TestWriterAndReaderBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(3 * BufferLimit)
		var got []byte
		done := make(chan error)
		go func() {
			buf := make([]byte, 1000)
			for {
				n, err := p.ReadTimeout(buf, time.Minute)
				got = append(got, buf[:n]...)
				if err != nil {
					done <- err
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
		want := bytes.Repeat([]byte("0123456789"), 9000)
		for rest := want; len(rest) > 0; {
			n := min(len(rest), 7000)
			if err := p.WriteTimeout(rest[:n], time.Minute); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		p.CloseWrite(nil)
		if err := <-done; !errors.Is(err, io.EOF) || !bytes.Equal(got, want) {
			t.Errorf("%d of %d bytes, %v", len(got), len(want), err)
		}
	})
}

// Neither side waits for the other beyond the time-out, nor continues when the other has aborted.
func TestTimeoutAndAbort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(-1)
		if _, err := p.ReadTimeout(make([]byte, 1), time.Second); !errors.Is(err, ErrStalled) {
			t.Errorf("read without data: %v", err)
		}
		_ = p.Append(make([]byte, BufferLimit))
		if err := p.WriteTimeout([]byte{1}, time.Second); !errors.Is(err, ErrStalled) {
			t.Errorf("write without a reader: %v", err)
		}
		cause := errors.New("left")
		ends := make(chan bool, 2)
		p.OnEnd(func(whole bool) { ends <- whole })
		go func() {
			time.Sleep(time.Second)
			p.CloseRead(cause)
			p.CloseRead(nil)
		}()
		if err := p.WriteTimeout([]byte{1}, time.Minute); !errors.Is(err, cause) {
			t.Errorf("write after the reader has closed: %v", err)
		}
		p.CloseWrite(nil)
		if whole := <-ends; whole || len(ends) > 0 {
			t.Errorf("ended as complete: %v, then %d times more", whole, len(ends))
		}
	})
}

// A body ends, as complete or truncated, only once its last byte has been read.
func TestEndIsReportedAfterLastByte(t *testing.T) {
	for name, c := range map[string]struct {
		end   error
		whole bool
	}{
		"whole":                           {nil, true},
		"broken off":                      {io.ErrUnexpectedEOF, false},
		"broken off, by an end of a file": {errors.Join(errors.New("broken off"), io.EOF), false},
	} {
		p := New(2)
		var got []bool
		p.OnEnd(func(whole bool) { got = append(got, whole) })
		_ = p.Append([]byte("ab"))
		p.CloseWrite(c.end)
		if c.whole && len(got) > 0 {
			t.Errorf("%s: ended before it was read", name)
		}
		if _, err := p.TakeAppend(nil, 10); errors.Is(err, io.EOF) != c.whole || err == nil {
			t.Errorf("%s: the end is %v", name, err)
		}
		if len(got) != 1 || got[0] != c.whole {
			t.Errorf("%s: ended as %v", name, got)
		}
	}
}
