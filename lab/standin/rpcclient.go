package standin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"firplank/lab/judge"
	"firplank/lab/scenario"
)

// rpcResponse is a response frame, or the error that ended the connection.
type rpcResponse struct {
	failure any
	result  any
	at      time.Duration
	err     error
}

// rpcClient is a connection with several requests in flight.
type rpcClient struct {
	net.Conn
	clock    Clock
	observer ClientObserver
	done     sync.WaitGroup

	mu        sync.Mutex
	lastID    uint32
	open      map[uint32]chan rpcResponse
	givenUp   map[uint32]bool
	lastTrace string // trace of the request whose response came last
	used      bool
	ended     bool
}

func (c *rpcClient) close() {
	_ = c.Conn.Close() // the connection is released even where this fails
	c.done.Wait()
}

func (c *rpcClient) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// read delivers responses to the waiting requests until the connection ends. A response to no open request is reported as a
// surplus one, unless its client gave up earlier.
func (c *rpcClient) read(in *bufio.Reader) {
	for {
		id, a, err := readRPCResponse(in)
		c.mu.Lock()
		a.at, a.err = c.clock(), err
		if err != nil {
			c.ended = true
			for id, w := range c.open {
				delete(c.open, id)
				w <- a
			}
			c.mu.Unlock()
			return
		}
		w, lastTrace := c.open[id], c.lastTrace
		late := c.givenUp[id]
		delete(c.open, id)
		delete(c.givenUp, id)
		c.used = true
		c.mu.Unlock()
		switch {
		case w != nil:
			w <- a
		case !late:
			c.observer.ExtraData(lastTrace, a.at)
		}
	}
}

var errNoResponse = errors.New("client: not a response frame")

func readRPCResponse(in *bufio.Reader) (id uint32, a rpcResponse, err error) {
	dec := msgpack.NewDecoder(in)
	if n, err := dec.DecodeArrayLen(); err != nil || n != 4 {
		return 0, a, errors.Join(errNoResponse, err)
	}
	if kind, err := dec.DecodeInt(); err != nil || kind != 1 {
		return 0, a, errors.Join(errNoResponse, err)
	}
	if id, err = dec.DecodeUint32(); err != nil {
		return 0, a, err
	}
	dec.UseLooseInterfaceDecoding(true)
	if a.failure, err = dec.DecodeInterface(); err != nil {
		return 0, a, err
	}
	a.result, err = dec.DecodeInterface()
	return id, a, err
}

// send writes a request and returns its id and the channel of its response.
func (c *rpcClient) send(method string, params []byte) (uint32, <-chan rpcResponse, error) {
	w := make(chan rpcResponse, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, nil, net.ErrClosed
	}
	c.lastID++
	id := c.lastID
	c.open[id] = w
	_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second)) // fails only on a closed connection, as the next call on it does
	frame := encode([]any{0, id, method, nil})
	_, err := c.Write(append(frame[:len(frame)-1], params...)) // replaces the encoded nil
	if err != nil {
		delete(c.open, id)
	}
	return id, w, err
}

func (c *rpcClient) giveUp(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[id] != nil {
		delete(c.open, id)
		c.givenUp[id] = true
	}
}

// params encodes the parameters of a try. HTTP clients send them as the body if the servers speak MessagePack-RPC.
func (c *Clients) params(a *scenario.Arrival, try int, trace string, left time.Duration) []byte {
	s := c.cfg.Scenario
	fields := map[string]any{
		"trace": trace, "tenant": s.Tenants[a.Tenant].Name, "object": a.Object,
		"left_ms": float64(left) / float64(time.Millisecond),
	}
	if a.Key != "" {
		fields["key"] = a.Key
	}
	if try > 0 && s.Clients.MarkRetries {
		fields["repeat"] = true
	}
	return encode([]any{fields})
}

// tryRPC sends a request once. If the request crossed the close of its connection, it is sent again on another one, within the
// same try.
func (c *Clients) tryRPC(t *attempt) result {
	for {
		conn, err := c.rpcConn(c.rpc[t.sidecar], t.arrival, t.sidecar)
		if err != nil {
			return lostResult // the request never reached the sidecar
		}
		r := c.exchangeRPC(conn, t)
		if t.arrival.Quirk != scenario.NoQuirk {
			conn.close()
		}
		if !r.stale {
			return r
		}
	}
}

// exchangeRPC sends a request and waits for its response until the client's limit and Linger are over.
func (c *Clients) exchangeRPC(conn *rpcClient, t *attempt) result {
	a := t.arrival
	left := t.giveUpAt - c.cfg.Clock()
	if left <= 0 {
		return lostResult
	}
	sent := c.cfg.Clock()
	c.cfg.Observer.Sent(t.judgeTry(sent))
	id, answered, err := conn.send(c.cfg.Scenario.Classes[a.Class].Name, c.params(a, t.number, t.trace, left))
	if err != nil {
		return staleResult
	}
	switch a.Quirk {
	case scenario.HangsUp:
		time.Sleep(min(a.HangUpAfter, left))
		c.cfg.Observer.ClientGone(t.trace, c.cfg.Clock())
		return lostResult
	case scenario.HalfCloses:
		_ = conn.Conn.(*net.TCPConn).CloseWrite() // fails only where the connection is closed already
	}
	timer := time.NewTimer(left + c.cfg.Linger)
	defer timer.Stop()
	var r rpcResponse
	select {
	case r = <-answered:
	case <-timer.C:
		conn.giveUp(id) // the judge reports the missing response
		return lostResult
	}
	if r.err != nil {
		if conn.used && a.Quirk != scenario.HalfCloses && r.at-sent < closeRaceWindow && errors.Is(r.err, io.EOF) {
			return staleResult
		}
		c.cfg.Observer.Answered(t.trace, r.at, judge.Broken, "")
		return lostResult
	}
	conn.mu.Lock()
	conn.lastTrace = t.trace
	conn.mu.Unlock()
	end, judged, retryAfter, bodyTrace := r.classify()
	c.cfg.Observer.Answered(t.trace, r.at, judged, bodyTrace)
	if r.at > t.giveUpAt {
		end = scenario.Lost
	}
	return result{end: end, retryAfter: retryAfter}
}

// classify returns the outcome of a response for the client and for the judge, the delay before a retry, and the trace that
// its body names.
func (r *rpcResponse) classify() (end scenario.Outcome, judged judge.Answer, retryAfter time.Duration, bodyTrace string) {
	if fields, ok := r.failure.(map[string]any); ok {
		if fields["code"] != "refused" {
			return scenario.Failed, judge.Failed, 0, ""
		}
		ms, _ := fields["retry_after_ms"].(int64)
		return scenario.Refused, judge.Refused, time.Duration(ms) * time.Millisecond, ""
	}
	text, ok := r.result.(string)
	if r.failure != nil || !ok {
		return scenario.Failed, judge.Failed, 0, ""
	}
	bodyTrace, _, _ = strings.Cut(text, " ")
	if !strings.HasSuffix(text, ".\n") {
		return scenario.Failed, judge.Failed, 0, bodyTrace
	}
	return scenario.Served, judge.Served, 0, bodyTrace
}
