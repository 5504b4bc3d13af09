package http

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"firplank/internal/httpwire"
)

// answerHead is the head of an answer, taken apart.
type responseHead struct {
	status         int
	header         http.Header
	length         int64 // of the body; -1: it ends with its chunks or with the connection
	chunked        bool
	willClose      bool // the server closes after it
	announcedClose bool // the server has said that it will
	http10         bool // it is of HTTP/1.0, where the connection's end may be the answer's
}

// headOf is what the standard library has read.
func headOf(resp *http.Response) *responseHead {
	return &responseHead{
		status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, chunked: len(resp.TransferEncoding) > 0,
		willClose: resp.Close, http10: !resp.ProtoAtLeast(1, 1),
	}
}

// parseAnswerHead takes a whole head apart, which ends with its empty line. What is not plain goes to the standard library,
// so that exactly what it takes is taken.
func parseResponseHead(b []byte) (*responseHead, error) {
	if h := parseSimpleHead(b); h != nil {
		return h, nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
	if err != nil {
		return nil, err
	}
	_ = resp.Body.Close() // the body has been read, or is not wanted
	h := headOf(resp)
	h.announcedClose = hasConnectionClose(b)
	return h, nil
}

// saysClose reports whether a head has "Connection: close", which the standard library takes off.
func hasConnectionClose(head []byte) bool {
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	return err == nil && httpguts.HeaderValuesContainsToken(header["Connection"], "close")
}

// plainHead takes apart a head of HTTP/1.1 whose lines end in CR LF, with one length or chunked, and nothing unusual; else
// it returns nil.
func parseSimpleHead(b []byte) *responseHead {
	const version = "HTTP/1.1 "
	if len(b) < len(version)+len("200\r\n\r\n") || string(b[:len(version)]) != version || !bytes.HasSuffix(b, []byte("\r\n\r\n")) {
		return nil
	}
	line, fields, _ := strings.Cut(string(b[len(version):len(b)-2]), "\r\n")
	if len(line) < 3 || len(line) > 3 && line[3] != ' ' || strings.ContainsAny(line, "\r\n") {
		return nil
	}
	status, err := strconv.ParseUint(line[:3], 10, 16)
	if err != nil || status < 200 || status == http.StatusNoContent || status == http.StatusNotModified {
		return nil
	}
	h := &responseHead{status: int(status), length: -1}
	if h.header, err = httpwire.ReadFields(fields); err != nil {
		return nil
	}
	lengths, codings := h.header["Content-Length"], h.header["Transfer-Encoding"]
	switch {
	case len(lengths) == 1 && codings == nil:
		n, err := strconv.ParseUint(lengths[0], 10, 62)
		if err != nil {
			return nil
		}
		h.length = int64(n)
	case len(codings) == 1 && lengths == nil && strings.EqualFold(codings[0], "chunked"):
		h.chunked = true
		delete(h.header, "Transfer-Encoding")
	default:
		return nil
	}
	if connection := h.header["Connection"]; len(connection) > 1 {
		return nil
	} else if len(connection) == 1 {
		if strings.EqualFold(connection[0], "close") {
			h.willClose = true
		} else if !strings.EqualFold(connection[0], "keep-alive") {
			return nil
		}
	}
	if h.header["Trailer"] != nil || h.header["Pragma"] != nil {
		return nil
	}
	return h
}

// endless reports whether a body goes on until the connection ends although the server did not say that it would end it:
// nobody may wait for that.
func (h *responseHead) unterminated() bool {
	return h.length < 0 && !h.chunked && !h.http10 && !h.announcedClose
}

// success reports whether the body counts, and not the head alone.
func (h *responseHead) success() bool { return h.status >= 200 && h.status < 300 }

// incoming is an answer that comes piece by piece. Its bytes are kept by who reads them, from the first on.
type responseParser struct {
	head     *responseHead // nil until it is whole
	offset   int           // where the present head begins, and later what has not been taken of the body
	scanned  int           // how far the present head has been looked through
	chunks   httpwire.ChunkReader
	headOnly bool // only its head counts: the body has no end that could be waited for
}

// next goes on over b, all that has come, and reports whether the answer is complete. eof: nothing will follow.
func (in *responseParser) parse(b []byte, eof bool) (complete bool, err error) {
	for in.head == nil {
		end, err := in.findHeadEnd(b)
		if err != nil {
			return false, err
		}
		if end == 0 {
			if eof {
				return false, errResponseTruncated
			}
			return false, nil
		}
		h, err := parseResponseHead(b[in.offset:end])
		if err != nil {
			return false, err
		}
		in.offset, in.scanned = end, end
		if h.status < 200 { // an interim answer: the real one follows
			continue
		}
		in.head = h
		if h.unterminated() {
			if h.success() {
				return false, errResponseUnframed
			}
			in.headOnly, h.willClose = true, true // its head is enough
		}
	}
	switch h := in.head; {
	case in.headOnly:
		return true, nil
	case h.length >= 0:
		complete = int64(len(b)-in.offset) >= h.length
	case h.chunked:
		consumed, done, err := in.chunks.Next(b[in.offset:])
		in.offset += consumed
		if err != nil {
			return false, err
		}
		complete = done
	default:
		complete = eof
	}
	if eof && !complete {
		return false, errResponseTruncated
	}
	return complete, nil
}

var errResponseTruncated = errors.New("an answer that breaks off")

// findHead returns where the present head ends; 0 where it does not yet. Lines may end with a bare LF, as the standard
// library has it.
func (in *responseParser) findHeadEnd(b []byte) (end int, err error) {
	for {
		i := bytes.IndexByte(b[in.scanned:], '\n')
		if i < 0 {
			in.scanned = len(b)
			break
		}
		i += in.scanned
		switch after := b[i+1:]; {
		case len(after) > 0 && after[0] == '\n':
			end = i + 2
		case len(after) > 1 && after[0] == '\r' && after[1] == '\n':
			end = i + 3
		case len(after) == 0 || len(after) == 1 && after[0] == '\r':
			in.scanned = i // once more with what follows
		default:
			in.scanned = i + 1
			continue
		}
		break
	}
	if len(b) > maxResponseHeadBytes && (end == 0 || end > maxResponseHeadBytes) {
		return 0, errResponseTooLarge
	}
	return end, nil
}

// surplus drops a whole answer that belongs to no request, and returns what came behind it. It reports whether another answer may follow.
func (in *responseParser) discard(b []byte, eof bool) (unread []byte, usable bool) {
	if eof || in.head.willClose {
		return nil, false
	}
	_, trailing := in.body(b)
	return b[len(b)-trailing:], true
}

// body is the body of a whole answer, and rest how many bytes came behind it.
func (in *responseParser) body(b []byte) (body []byte, trailing int) {
	switch h := in.head; {
	case in.headOnly:
		return nil, 0
	case h.chunked:
		return in.chunks.Body, len(b) - in.offset
	case h.length >= 0:
		return b[in.offset : in.offset+int(h.length)], len(b) - in.offset - int(h.length)
	}
	return b[in.offset:], 0
}
