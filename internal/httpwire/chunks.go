package httpwire

import (
	"bytes"
	"errors"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// mostChunkLine bounds a line of a chunked body that holds no data: a size, with extensions, or a trailer.
const (
	mostChunkLine = 1 << 10
	mostTrailers  = 32 << 10 // bytes of them, which are dropped
)

// What is wrong with a body in chunks.
var (
	ErrChunk    = errors.New("a chunk that is none")
	ErrTrailers = errors.New("trailers too long")
	ErrLongBody = errors.New("body too long")
)

// Chunks reads a chunked body that comes piece by piece. Extensions and trailers are dropped.
type Chunks struct {
	Body     []byte // what has come and was not taken away by the caller
	total    int64
	left     int // of the present chunk, with its line end
	trailers int // bytes of them so far
	ending   bool
}

// Next takes in b and returns how much of it belongs to the body, and whether its end was there. What is not taken is to
// come again with more behind it.
func (c *Chunks) Next(b []byte) (taken int, done bool, err error) {
	for {
		if c.left > 2 {
			n := min(c.left-2, len(b)-taken)
			c.Body = append(c.Body, b[taken:taken+n]...)
			taken += n
			c.left -= n
		}
		if c.left > 2 {
			return taken, false, nil
		}
		if c.left == 2 {
			if len(b)-taken < 2 {
				return taken, false, nil
			}
			if b[taken] != '\r' || b[taken+1] != '\n' {
				return taken, false, ErrChunk
			}
			taken, c.left = taken+2, 0
		}
		i := bytes.IndexByte(b[taken:], '\n')
		if i > mostChunkLine || i < 0 && len(b)-taken > mostChunkLine {
			return taken, false, ErrChunk
		}
		if i < 0 {
			return taken, false, nil
		}
		line, ok := bytes.CutSuffix(b[taken:taken+i], []byte{'\r'})
		if !ok {
			return taken, false, ErrLineEnd
		}
		taken += i + 1
		if c.ending {
			if c.trailers += len(line); c.trailers > mostTrailers {
				return taken, false, ErrTrailers
			}
			if len(line) == 0 {
				return taken, true, nil
			}
			name, value, ok := bytes.Cut(line, []byte{':'})
			if !ok || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) ||
				bytes.IndexByte(value, '\r') >= 0 {
				return taken, false, ErrChunk
			}
			continue
		}
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 31)
		if err != nil || len(size) == 0 || size[0] == '+' || size[0] == '_' {
			return taken, false, ErrChunk
		}
		if c.total+int64(n) > MaxStream {
			return taken, false, ErrLongBody
		}
		c.total += int64(n)
		c.left, c.ending = int(n)+2, n == 0
		if c.ending {
			c.left = 0
		}
	}
}
