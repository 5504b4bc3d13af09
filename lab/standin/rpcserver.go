package standin

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// The stand-ins encode and decode MessagePack-RPC with a library that the sidecar does not use, so that they share no bugs
// with it.

// rpcRequest is a request frame as a server reads it.
type rpcRequest struct {
	id           uint32
	method       string
	fields       map[string]any // the first param
	firstByteAt  time.Duration
	notification bool // a notification
}

var errNotRequest = errors.New("not a request or notification frame")

// readRequest reads a request or notification.
func (s *Server) readRequest(in *bufio.Reader) (*rpcRequest, error) {
	if _, err := in.Peek(1); err != nil {
		return nil, err
	}
	req := &rpcRequest{firstByteAt: s.cfg.Clock()}
	dec := msgpack.NewDecoder(in) // does not read ahead of what it decodes
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	kind, err := dec.DecodeInt()
	if err != nil || !(n == 4 && kind == 0 || n == 3 && kind == 2) {
		return nil, errNotRequest
	}
	req.notification = kind == 2
	if !req.notification {
		if req.id, err = dec.DecodeUint32(); err != nil {
			return nil, err
		}
	}
	if req.method, err = dec.DecodeString(); err != nil {
		return nil, err
	}
	var params []any
	if err := dec.Decode(&params); err != nil {
		return nil, err
	}
	if len(params) > 0 {
		req.fields, _ = params[0].(map[string]any)
	}
	return req, nil
}

func (r *rpcRequest) stringField(key string) string {
	v, _ := r.fields[key].(string)
	return v
}

// left returns the time until the client's deadline; a minute if the request names none.
func (r *rpcRequest) timeLeft() time.Duration {
	ms, ok := r.fields["left_ms"].(float64)
	if !ok {
		return time.Minute
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// rpcConn is a connection with several requests in progress.
type rpcConn struct {
	*serverConn
	writeMu sync.Mutex
}

// serveRPC serves requests of a connection concurrently and writes each response when it is ready.
func (s *Server) serveRPC(c *serverConn) {
	rc := &rpcConn{serverConn: c}
	connClosed := make(chan incoming)
	var working sync.WaitGroup
	var mu sync.Mutex
	open := 0
	idle := time.AfterFunc(cmp.Or(s.cfg.IdleTimeout, time.Hour), func() {
		mu.Lock()
		defer mu.Unlock()
		if open == 0 {
			_ = c.Close() // the connection is released even where this fails
		}
	})
	defer idle.Stop()
	for in := bufio.NewReader(io.LimitReader(c, 1<<30)); ; {
		req, err := s.readRequest(in)
		if err != nil {
			break
		}
		if s.isSilent(c.link) {
			continue
		}
		mu.Lock()
		open++
		mu.Unlock()
		working.Go(func() {
			r := s.handle(c, request{
				trace: req.stringField("trace"), class: req.method, key: req.stringField("key"), timeLeft: req.timeLeft(), firstByteAt: req.firstByteAt,
				probe: req.method == "alive",
			}, connClosed)
			mu.Lock()
			open--
			if open == 0 {
				idle.Reset(cmp.Or(s.cfg.IdleTimeout, time.Hour))
			}
			mu.Unlock()
			if r != nil && !req.notification && !s.isSilent(c.link) {
				s.writeRPC(rc, req.id, r)
			}
		})
	}
	close(connClosed)
	working.Wait()
}

// encode encodes values that are always encodable and panics otherwise.
func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err))
	}
	return b
}

// frame returns the response frame of a reply.
func (r *reply) frame(id uint32) []byte {
	switch r.status {
	case http.StatusOK:
		return encode([]any{1, id, nil, r.body})
	case http.StatusServiceUnavailable:
		return encode([]any{1, id, map[string]any{"code": "never_ran", "message": r.body}, nil})
	}
	return encode([]any{1, id, map[string]any{"code": "error", "message": r.body}, nil})
}

// writeRPC sends a reply, corrupted if the fault says so. Each form corrupts the frame in the way that the same form corrupts
// an HTTP response.
func (s *Server) writeRPC(c *rpcConn, id uint32, r *reply) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	plain := r.frame(id)
	closeConn := false // the connection can't be used further
	switch r.spoil.Form {
	case "noise":
		plain, closeConn = []byte("\xc1\x16\x03 no frame at all"), true
	case "endless_head": // nested arrays without end
		writeRepeatedly(c, strings.Repeat("\x91", 10000), maxSpoilBytes/10000)
		return
	case "short_length":
		half := len(r.body) / 2
		plain = append(encode([]any{1, id, nil, r.body[:half]}), r.body[half:]...)
	case "long_length":
		plain = bytes.TrimSuffix(encode([]any{1, id, nil, r.body + strings.Repeat("x", 100)}), bytes.Repeat([]byte("x"), 100))
	case "huge_length":
		writeRepeatedly(c, "\x94\x01\x07\xc0\xdb\xff\xff\xff\xff"+strings.Repeat("more ", 2000), maxSpoilBytes/10000)
		return
	case "cut_off":
		plain, closeConn = plain[:len(plain)/2], true
	case "interim":
		plain = append(encode([]any{2, "progress", []any{0.5}}), plain...)
	case "wrong_id":
		plain = append(r.frame(id+1<<30), plain...)
	case "pieces":
		for i := range plain {
			if _, err := c.Write(plain[i : i+1]); err != nil {
				return
			}
		}
		return
	case "second_copy":
		if r.spoil.Delay == 0 {
			plain = append(plain, plain...)
			break
		}
		again := bytes.Clone(plain)
		s.tasks.Go(func() {
			time.Sleep(r.spoil.Delay)
			c.writeMu.Lock()
			defer c.writeMu.Unlock()
			_, _ = c.Write(again) // a closed connection is reported by the next read
		})
	}
	_, _ = c.Write(plain) // a closed connection is reported by the next read
	if closeConn {
		_ = c.Close() // the connection is released even where this fails
	}
}
