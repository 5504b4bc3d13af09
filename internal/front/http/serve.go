package http

// This file serves requests with the standard library's server.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"firplank/internal/bodypipe"
	"firplank/internal/core"
	"firplank/internal/socket"
	"firplank/overload"
)

// BadRequest returns an error for a client's mistake, which is answered with the status and text.
func BadRequest(status int, text string) error { return &badRequest{status, text} }

// call is a core.Call whose answer goes to the handler of its request.
type call struct {
	core.Call
	answers      chan *core.Answer // receives the one final answer
	directAnswer *core.Answer      // set if the dialect has answered the request
}

// exchangeOf returns the exchange for a call: its own if it has one, else the front's.
func exchangeOf(c *core.Call, defaultExchange core.Exchange) core.Exchange {
	if c.Exchange != nil {
		return c.Exchange
	}
	return defaultExchange
}

// Answer implements core.Client.
func (c *call) Answer(_ *core.Call, a *core.Answer) { c.answers <- a }

// connKey is the context key of a request's connection.
type connKey struct{}

func (f *Front) newServer() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       f.cfg.idleTimeout(),
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(f.cfg.Log.Handler(), slog.LevelDebug),
		ConnState:         f.conns.onConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// ServeHTTP routes by the path as it was sent: http.ServeMux would answer some paths with a redirect, which the application
// does not expect.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(*clientConn)
	conn.countRequest()
	// A write before the answer, as 100 Continue, has its own time-out.
	setWriteTimeout(w)
	if f.cfg.Dialect != nil {
		f.serveAPI(w, r, conn)
		return
	}
	switch path := r.URL.Path; {
	case path == "/api" || strings.HasPrefix(path, "/api/"):
		f.serveAPI(w, r, conn)
	case path == "/up" && r.Method == http.MethodGet:
		f.serveReadiness(w)
	default:
		rejectBadRequest(w, &badRequest{http.StatusNotFound, "no such path"})
	}
}

func (f *Front) serveReadiness(w http.ResponseWriter) {
	if !f.isReady() || !f.exchange.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n") // fails only if the client has disconnected
}

// badRequest is a client's mistake. It is answered with its status, which never means that a retry is safe.
type badRequest struct {
	status int
	text   string
}

func (e *badRequest) Error() string { return e.text }

func malformed(format string, args ...any) error {
	return &badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// rejectBadRequest answers a bad request and closes its connection, on which the next request's start is unknown.
func rejectBadRequest(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var bad *badRequest
	if errors.As(err, &bad) {
		status = bad.status
	}
	w.Header().Set("Connection", "close")
	setWriteTimeout(w)
	http.Error(w, err.Error(), status)
}

// serveAPI serves a request that is forwarded to servers.
func (f *Front) serveAPI(w http.ResponseWriter, r *http.Request, conn *clientConn) {
	class := -1
	if f.cfg.Dialect == nil {
		class = f.cfg.classOf(r.Header)
	}
	if ok, holdOff := f.cfg.Shedder.Admit(class); !ok {
		f.cfg.countRejected(class, r.Header)
		writeAnswer(w, core.Refusal(holdOff.Truncate(time.Millisecond)))
		return
	}
	submitted := false
	defer func() {
		if !submitted {
			f.cfg.Shedder.RequestEnded(class, 0, overload.Inconclusive)
		}
	}()
	c, err := f.parse(r)
	afterRequest := conn.peekAfterRequest()
	if err == nil && c.Message.Stream != nil {
		defer c.Message.Stream.CloseWrite(errRequestOver)
		go copyRequestBody(w, r, c.Message.Stream)
	} else if err == nil && afterRequest == socket.Readable {
		err = malformed("more than the request that was announced")
	}
	if err != nil {
		rejectBadRequest(w, err)
		return
	}
	if c.directAnswer != nil {
		writeAnswer(w, c.directAnswer)
		return
	}
	if c.Message.Stream == nil && afterRequest == socket.Closed {
		// The client disconnected before its request was submitted, as usual when a paused process resumes (SIGSTOP, SIGCONT).
		w.Header().Set("Connection", "close")
		writeAnswer(w, core.Refusal(0))
		return
	}
	submitted = true
	f.submitAndRespond(w, r, conn, c)
}

// submitAndRespond submits a call to the exchange and writes its answer.
func (f *Front) submitAndRespond(w http.ResponseWriter, r *http.Request, conn *clientConn, c *call) {
	exchange := exchangeOf(&c.Call, f.exchange)
	exchange.Submit(&c.Call)
	select {
	case a := <-c.answers:
		// Decided with the answer, not with the request: many requests may be open when a drain starts.
		if a.Reason == core.DuplicateName || f.closesAfterAnswer() || conn.scanner.unscanned ||
			conn.peekAfterRequest() != socket.Idle || conn.tracker.tooManyIdle() {
			w.Header().Set("Connection", "close")
		}
		writeAnswer(w, a)
	case <-r.Context().Done():
		// The client has disconnected, or has only ended its sending and still expects an answer.
		exchange.Disconnect(&c.Call)
		select {
		case a := <-c.answers:
			w.Header().Set("Connection", "close")
			writeAnswer(w, a)
		case <-f.exchange.Done():
			panic(http.ErrAbortHandler)
		}
	case <-f.exchange.Done():
		panic(http.ErrAbortHandler)
	}
}

var errRequestOver = errors.New("the request is over")

// copyRequestBody copies a streamed request body into a pipe, with time-outs for both sides.
func copyRequestBody(w http.ResponseWriter, r *http.Request, pipe *bodypipe.Pipe) {
	controller := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
	for {
		// Fails only on a closed connection, as the next call on it does.
		_ = controller.SetReadDeadline(time.Now().Add(readTimeout))
		n, err := r.Body.Read(buf)
		if n > 0 && pipe.WriteTimeout(buf[:n], streamTimeout) != nil {
			return
		}
		if err == io.EOF {
			pipe.CloseWrite(nil)
			return
		}
		if err != nil {
			pipe.CloseWrite(err)
			return
		}
	}
}
