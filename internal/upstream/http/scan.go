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

// responseHead is the parsed head of a response.
type responseHead struct {
	status         int
	header         http.Header
	length         int64 // of the body; -1: delimited by its chunks or by the end of the connection
	chunked        bool
	willClose      bool // the connection can't be reused after the response
	announcedClose bool // the response has "Connection: close"
	http10         bool // HTTP/1.0, where the end of the connection may delimit the body
}

// headOf returns the head that the standard library parsed.
func headOf(resp *http.Response) *responseHead {
	return &responseHead{
		status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, chunked: len(resp.TransferEncoding) > 0,
		willClose: resp.Close, http10: !resp.ProtoAtLeast(1, 1),
	}
}

// parseResponseHead parses a complete head, with its empty line. Heads that are not in the common form are passed to the
// standard library, so that exactly those are accepted that it accepts.
func parseResponseHead(b []byte) (*responseHead, error) {
	if h := parseSimpleHead(b); h != nil {
		return h, nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
	if err != nil {
		return nil, err
	}
	_ = resp.Body.Close() // the body is not read here
	h := headOf(resp)
	h.announcedClose = hasConnectionClose(b)
	return h, nil
}

// hasConnectionClose reports whether a head has "Connection: close", which the standard library removes.
func hasConnectionClose(head []byte) bool {
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	return err == nil && httpguts.HeaderValuesContainsToken(header["Connection"], "close")
}

// parseSimpleHead parses an HTTP/1.1 head in the common form: lines that end in CR LF, and either one Content-Length or
// the chunked coding. It returns nil for any other.
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

// unterminated reports whether the body ends only with the connection although the server didn't announce that it closes
// it. Waiting for its end could take forever.
func (h *responseHead) unterminated() bool {
	return h.length < 0 && !h.chunked && !h.http10 && !h.announcedClose
}

// success reports whether the status is a success, so that the response needs its body.
func (h *responseHead) success() bool { return h.status >= 200 && h.status < 300 }

// responseParser parses a response that arrives in several reads. The caller keeps all its bytes, from the first one.
type responseParser struct {
	head     *responseHead // nil until it is complete
	offset   int           // start of the current head, later of the unparsed body
	scanned  int           // end of the part of the current head that was searched for its end
	chunks   httpwire.ChunkReader
	headOnly bool // only the head counts, because the body is unterminated
}

// parse continues with b, all the bytes received so far, and reports whether the response is complete. eof reports that
// no more follow.
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
		if h.status < 200 { // an interim response: the final one follows
			continue
		}
		in.head = h
		if h.unterminated() {
			if h.success() {
				return false, errResponseUnframed
			}
			in.headOnly, h.willClose = true, true // the head suffices
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

var errResponseTruncated = errors.New("response is truncated")

// findHeadEnd returns where the current head ends; 0 if it is incomplete. Lines may end with a bare LF, as in the
// standard library.
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
			in.scanned = i // searched again with the next bytes
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

// discard drops a complete response that belongs to no request, and returns the bytes after it. It reports whether
// another response may follow.
func (in *responseParser) discard(b []byte, eof bool) (unread []byte, usable bool) {
	if eof || in.head.willClose {
		return nil, false
	}
	_, trailing := in.body(b)
	return b[len(b)-trailing:], true
}

// body returns the body of a complete response, and how many bytes follow it.
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
