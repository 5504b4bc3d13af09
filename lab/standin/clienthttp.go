package standin

// This file implements the clients' HTTP exchange.

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"firplank/lab/judge"
	"firplank/lab/scenario"
)

var errClosedBeforeResponse = errors.New("connection closed before the first byte of a response")

// exchangeHTTP sends a request and reads its response.
func (c *Clients) exchangeHTTP(conn *clientConn, t *attempt) result {
	left := t.giveUpAt - c.cfg.Clock()
	if left <= 0 {
		c.pools[t.sidecar].put(conn)
		return lostResult
	}
	_ = conn.SetDeadline(time.Now().Add(left + c.cfg.Linger)) // fails only on a closed connection, as the next call on it does
	// Reported to the judge first, as a server may receive the request before Write returns.
	c.cfg.Observer.Sent(t.judgeTry(c.cfg.Clock()))
	if _, err := io.WriteString(conn, c.request(t.arrival, t.number, t.trace, left)); err != nil {
		_ = conn.Close() // the connection is released even where this fails
		if conn.used {
			return staleResult
		}
		c.cfg.Observer.Answered(t.trace, c.cfg.Clock(), judge.Broken, "")
		return lostResult
	}
	switch t.arrival.Quirk {
	case scenario.HangsUp:
		time.Sleep(min(t.arrival.HangUpAfter, left))
		c.cfg.Observer.ClientGone(t.trace, c.cfg.Clock())
		_ = conn.Close() // the connection is released even where this fails
		return lostResult
	case scenario.HalfCloses:
		_ = conn.Conn.(*net.TCPConn).CloseWrite() // fails only where the connection is closed already
	case scenario.ReadsSlowly:
		conn.in = bufio.NewReaderSize(&slowReader{conn.Conn}, 16)
	}
	answer, err := readHTTPResponse(conn.in)
	if err != nil {
		return c.handleReadError(conn, t, c.cfg.Clock(), err)
	}
	return c.handleResponse(conn, t, c.cfg.Clock(), answer)
}

// handleReadError closes a connection on which no complete response arrived, and returns the attempt's result.
func (c *Clients) handleReadError(conn *clientConn, t *attempt, now time.Duration, err error) result {
	_ = conn.Close() // the connection is released even where this fails
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return lostResult // the judge reports the missing response
	}
	// After a half-close the sidecar has received the whole request, so its close can't have crossed the request on the wire.
	if errors.Is(err, errClosedBeforeResponse) && conn.used && t.arrival.Quirk != scenario.HalfCloses {
		return staleResult
	}
	c.cfg.Observer.Answered(t.trace, now, judge.Broken, "")
	return lostResult
}

// handleResponse reports a response to the judge and returns the connection to the pool if it can be reused.
func (c *Clients) handleResponse(conn *clientConn, t *attempt, now time.Duration, answer *clientResponse) result {
	if conn.in.Buffered() > 0 {
		c.cfg.Observer.ExtraData(t.trace, now)
		answer.closeConn = true
	}
	c.cfg.Observer.Answered(t.trace, now, answer.judged, answer.bodyTrace)
	if now > t.giveUpAt {
		answer.end = scenario.Lost
	}
	conn.lastTrace, conn.used = t.trace, true
	if answer.closeConn || t.arrival.Quirk != scenario.NoQuirk {
		_ = conn.Close() // the connection is released even where this fails
	} else {
		c.pools[t.sidecar].put(conn)
	}
	return result{end: answer.end, retryAfter: answer.retryAfter}
}

// slowReader reads at most 16 bytes every 2 ms.
type slowReader struct{ from io.Reader }

func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return s.from.Read(p[:min(len(p), 16)])
}

// request returns the bytes of a request in the format of the protocol's pages.
func (c *Clients) request(a *scenario.Arrival, try int, trace string, left time.Duration) string {
	s := c.cfg.Scenario
	class := &s.Classes[a.Class]
	var b strings.Builder
	method, body := "POST", "do "+a.Object
	if class.Effect == "safe" {
		method, body = "GET", ""
	}
	path := "/" + a.Object
	if s.RPCServers() { // MessagePack-RPC servers get the method from the path
		method, path, body = "POST", "", string(c.params(a, try, trace, left))
	}
	fmt.Fprintf(&b, "%s /api/%s%s HTTP/1.1\r\nHost: lab.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: "+
		"%s\r\nX-Object: %s\r\nX-Expires-In: %du\r\n",
		method, class.Name, path, trace, class.Name, s.Tenants[a.Tenant].Name, a.Object, left.Microseconds())
	if s.RPCServers() {
		b.WriteString("Content-Type: application/msgpack\r\n")
	}
	if a.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", a.Key)
	}
	if try > 0 && s.Clients.MarkRetries {
		b.WriteString("X-Second-Try: 1\r\n")
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

type clientResponse struct {
	end        scenario.Outcome
	judged     judge.Answer
	retryAfter time.Duration
	bodyTrace  string
	closeConn  bool
}

// maxResponseBytes bounds what a client reads of a response body.
const maxResponseBytes = 1 << 20

func readHTTPResponse(in *bufio.Reader) (*clientResponse, error) {
	if _, err := in.Peek(1); err != nil {
		if errors.Is(err, io.EOF) || strings.Contains(err.Error(), "reset") {
			return nil, errClosedBeforeResponse
		}
		return nil, err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	a := &clientResponse{end: scenario.Failed, judged: judge.Failed, closeConn: resp.Close}
	if resp.Header.Get("Content-Type") == "application/msgpack" {
		text := ""
		if err := msgpack.Unmarshal(body, &text); err != nil {
			return nil, err
		}
		body = []byte(text)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		bodyTrace, _, _ := strings.Cut(string(body), " ")
		a.bodyTrace = bodyTrace
		if strings.HasSuffix(string(body), ".\n") { // otherwise the body is truncated, which the client detects
			a.end, a.judged = scenario.Served, judge.Served
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		a.end, a.judged = scenario.Refused, judge.Refused
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
			a.retryAfter = time.Duration(s * float64(time.Second))
		}
	}
	return a, nil
}
