package httpwire

import (
	"bytes"
	"errors"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxChunkLineBytes bounds a line of a chunked body without data: a size with extensions, or a trailer field.
	maxChunkLineBytes = 1 << 10
	maxTrailerBytes   = 32 << 10 // bytes of trailer fields, which are discarded
)

// Errors in a chunked body.
var (
	ErrMalformedChunk  = errors.New("a chunk that is none")
	ErrTrailersTooLong = errors.New("trailers too long")
	ErrBodyTooLong     = errors.New("body too long")
)

// ChunkReader decodes a chunked body (RFC 9112, 7.1) incrementally. It discards extensions and trailer fields. The zero
// value is ready for use. It is not safe for concurrent use.
type ChunkReader struct {
	Body         []byte // the decoded bytes; the caller may remove them
	total        int64
	remaining    int // bytes left of the current chunk, with its line end
	trailerBytes int // bytes of trailer fields so far
	lastChunk    bool
}

// Next decodes b and returns how many bytes it consumed, and whether they include the end of the body. The caller passes
// the other bytes again, followed by more.
func (c *ChunkReader) Next(b []byte) (consumed int, done bool, err error) {
	for {
		n, complete, err := c.readData(b[consumed:])
		consumed += n
		if err != nil || !complete {
			return consumed, false, err
		}
		line, n, err := cutLine(b[consumed:])
		if err != nil || n == 0 {
			return consumed, false, err
		}
		consumed += n
		if !c.lastChunk {
			if err := c.startChunk(line); err != nil {
				return consumed, false, err
			}
			continue
		}
		if done, err := c.checkTrailer(line); done || err != nil {
			return consumed, done, err
		}
	}
}

// readData consumes the rest of the current chunk, with its line end, and reports whether the chunk is complete.
func (c *ChunkReader) readData(b []byte) (consumed int, complete bool, err error) {
	if c.remaining > 2 {
		consumed = min(c.remaining-2, len(b))
		c.Body = append(c.Body, b[:consumed]...)
		c.remaining -= consumed
	}
	if c.remaining > 2 {
		return consumed, false, nil
	}
	if c.remaining == 2 {
		if len(b)-consumed < 2 {
			return consumed, false, nil
		}
		if b[consumed] != '\r' || b[consumed+1] != '\n' {
			return consumed, false, ErrMalformedChunk
		}
		consumed, c.remaining = consumed+2, 0
	}
	return consumed, true, nil
}

// cutLine returns the first line of b without its end, and its length with it; 0 where it is incomplete.
func cutLine(b []byte) (line []byte, length int, err error) {
	i := bytes.IndexByte(b, '\n')
	if i > maxChunkLineBytes || i < 0 && len(b) > maxChunkLineBytes {
		return nil, 0, ErrMalformedChunk
	}
	if i < 0 {
		return nil, 0, nil
	}
	line, ok := bytes.CutSuffix(b[:i], []byte{'\r'})
	if !ok {
		return nil, 0, ErrLineEnd
	}
	return line, i + 1, nil
}

// startChunk starts the chunk of a size line.
func (c *ChunkReader) startChunk(line []byte) error {
	size, _, _ := bytes.Cut(line, []byte{';'})
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 31)
	if err != nil || len(size) == 0 || size[0] == '+' || size[0] == '_' {
		return ErrMalformedChunk
	}
	if c.total+int64(n) > MaxStreamedBody {
		return ErrBodyTooLong
	}
	c.total += int64(n)
	c.remaining, c.lastChunk = int(n)+2, n == 0
	if c.lastChunk {
		c.remaining = 0
	}
	return nil
}

// checkTrailer checks a trailer field, and reports whether the line ends the body.
func (c *ChunkReader) checkTrailer(line []byte) (done bool, err error) {
	if c.trailerBytes += len(line); c.trailerBytes > maxTrailerBytes {
		return false, ErrTrailersTooLong
	}
	if len(line) == 0 {
		return true, nil
	}
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !httpguts.ValidHeaderFieldName(string(name)) || !httpguts.ValidHeaderFieldValue(string(value)) ||
		bytes.IndexByte(value, '\r') >= 0 {
		return false, ErrMalformedChunk
	}
	return false, nil
}
