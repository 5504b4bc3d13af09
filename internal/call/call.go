// Package call is a small client for the command line. It makes one request, or several equal ones at once, over
// HTTP/1.1 or MessagePack-RPC, and prints the responses. It serves to try out a sidecar or a server, and does not retry.
package call

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"firplank/internal/output"
	"firplank/internal/strictjson"
	codec "firplank/msgpackrpc"
)

// Request is the request to make. Over MessagePack-RPC only URL, Method, Params, Timeout and Count are used.
type Request struct {
	URL            *url.URL // http://host:port/path, or msgpack-rpc://host:port
	Method         string   // for MessagePack-RPC
	Params         string   // a JSON array
	Class          string
	Tenant         string
	IdempotencyKey string
	Object         string
	Body           string // if Body and IdempotencyKey are empty, the method is GET
	Timeout        time.Duration
	Count          int // concurrent requests, at least 1
}

// Errors that end a call.
var (
	ErrRefused = errors.New("refused: safe to retry")
	ErrFailed  = errors.New("failed")
)

// maxResponseBytes bounds a response.
const maxResponseBytes = 16 << 20

// Do makes the requests and writes each response on its own line as it arrives. The error is ErrRefused or ErrFailed
// after the first response that means it, or why a response is missing.
func Do(ctx context.Context, r *Request, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	switch r.URL.Scheme {
	case "http":
		return r.http(ctx, out)
	case "msgpack-rpc":
		return r.rpc(ctx, out)
	}
	return fmt.Errorf("call: %q: want http or msgpack-rpc", r.URL.Scheme)
}

func (r *Request) http(ctx context.Context, out io.Writer) error {
	var mu sync.Mutex // guards out and errs
	var errs []error
	var all sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: r.Count}}
	defer client.CloseIdleConnections()
	for range r.Count {
		all.Go(func() {
			printer := output.New(out)
			line, err := r.doHTTP(ctx, client)
			mu.Lock()
			defer mu.Unlock()
			if line != "" {
				printer.Println(line)
			}
			errs = append(errs, err)
		})
	}
	all.Wait()
	return firstError(errs)
}

func firstError(errs []error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Request) doHTTP(ctx context.Context, client *http.Client) (string, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if r.Body != "" || r.IdempotencyKey != "" {
		method, body = http.MethodPost, strings.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, method, r.URL.String(), body)
	if err != nil {
		return "", fmt.Errorf("call: %w", err)
	}
	for name, value := range map[string]string{
		"X-Trace-Id": fmt.Sprintf("%016x", rand.Uint64()), "X-Qos": r.Class, "X-Customer": r.Tenant, "X-Object": r.Object,
		"Idempotency-Key": r.IdempotencyKey, "X-Expires-In": fmt.Sprintf("%dm", max(1, r.Timeout.Milliseconds())),
	} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", fmt.Errorf("call: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // the connection is closed with the client
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return "", fmt.Errorf("call: %w", err)
	}
	line := resp.Status + " " + strings.TrimSpace(string(text))
	if resp.Header.Get("Content-Type") == "application/msgpack" {
		line = resp.Status + " " + toJSON(text)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return line, nil
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return line + " (come back after " + cmp.Or(resp.Header.Get("Retry-After"), "any time") + ")", ErrRefused
	}
	return line, ErrFailed
}

// rpc sends all requests in one write over one connection.
func (r *Request) rpc(ctx context.Context, out io.Writer) error {
	printer := output.New(out)
	params, err := parseParams(r.Params)
	if err != nil {
		return err
	}
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", r.URL.Host)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer func() { _ = c.Close() }() // the connection is released even where this fails
	// Fails only on a closed connection, and so does the next call.
	defer context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })()
	var frames []byte
	for id := range uint32(r.Count) {
		frames = codec.AppendRequest(frames, id+1, r.Method, params)
	}
	if _, err := c.Write(frames); err != nil {
		return fmt.Errorf("call: %w", err)
	}
	var errs []error
	pending := make(map[uint32]bool, r.Count)
	for id := range uint32(r.Count) {
		pending[id+1] = true
	}
	for in := codec.NewReader(c, codec.Limits{Frame: maxResponseBytes}); len(pending) > 0; {
		f, err := in.Next()
		if err != nil {
			return fmt.Errorf("call: received %d of %d responses: %w", r.Count-len(pending), r.Count, err)
		}
		if f.Kind != codec.Response || !pending[f.ID] {
			return fmt.Errorf("call: unexpected frame or response to unknown id %d", f.ID)
		}
		delete(pending, f.ID)
		if !f.Failed() {
			printer.Printf("%d result %s\n", f.ID, toJSON(f.Result))
			continue
		}
		printer.Printf("%d error %s\n", f.ID, toJSON(f.Error))
		if isRefused(f.Error) {
			errs = append(errs, ErrRefused)
		} else {
			errs = append(errs, ErrFailed)
		}
	}
	return firstError(errs)
}

// toJSON returns a MessagePack value as JSON.
func toJSON(b []byte) string {
	var text bytes.Buffer
	if _, err := msgp.UnmarshalAsJSON(&text, b); err != nil {
		return fmt.Sprintf("% x (%v)", b, err)
	}
	return text.String()
}

func isRefused(b []byte) bool {
	v, _, err := msgp.ReadMapStrIntfBytes(b, nil)
	return err == nil && v["code"] == "refused"
}

// parseParams encodes a JSON array as params. Integers stay integers.
func parseParams(text string) ([]byte, error) {
	text = cmp.Or(text, "[]")
	if err := strictjson.Check([]byte(text)); err != nil {
		return nil, fmt.Errorf("call: params are not a JSON array: %w", err)
	}
	var params []any
	d := json.NewDecoder(strings.NewReader(text))
	d.UseNumber()
	if err := d.Decode(&params); err != nil {
		return nil, fmt.Errorf("call: params are not a JSON array: %w", err)
	}
	b, err := msgp.AppendIntf(nil, convertNumbers(params))
	if err != nil {
		return nil, fmt.Errorf("call: encode params: %w", err)
	}
	return b, nil
}

// convertNumbers replaces the numbers of JSON by int64 and float64.
func convertNumbers(v any) any {
	switch v := v.(type) {
	case json.Number:
		if i, err := v.Int64(); err == nil {
			return i
		}
		f, _ := v.Float64()
		return f
	case []any:
		for i := range v {
			v[i] = convertNumbers(v[i])
		}
	case map[string]any:
		for k := range v {
			v[k] = convertNumbers(v[k])
		}
	}
	return v
}
