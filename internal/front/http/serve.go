package http

// This file serves a request on the standard library's server.

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

// BadRequest is a mistake of a client's, to be answered with a status.
func BadRequest(status int, text string) error { return &badRequest{status, text} }

// call is a core.Call with the way back to its handler.
type call struct {
	core.Call
	answers chan *core.Answer // takes the one final answer
	direct  *core.Answer      // what a dialect answers itself
}

// exchangeOf is who carries a call.
func exchangeOf(c *core.Call, own core.Exchange) core.Exchange {
	if c.Exchange != nil {
		return c.Exchange
	}
	return own
}

// Answer implements core.Client.
func (c *call) Answer(_ *core.Call, a *core.Answer) { c.answers <- a }

// clientKey is the context key of a request's connection.
type clientKey struct{}

func (f *Front) newServer() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: headTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       f.cfg.idle(),
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(f.cfg.Log.Handler(), slog.LevelDebug),
		ConnState:         f.clients.follow,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, clientKey{}, c)
		},
	}
}

// ServeHTTP takes each path as it is written: http.ServeMux would answer some with a redirection, which is no
// answer that the application knows.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cl := r.Context().Value(clientKey{}).(*client)
	cl.next()
	// What is written before the answer, as the go-ahead for a body, has a limit of its own.
	limitWrite(w)
	if f.cfg.Dialect != nil {
		f.api(w, r, cl)
		return
	}
	switch path := r.URL.Path; {
	case path == "/api" || strings.HasPrefix(path, "/api/"):
		f.api(w, r, cl)
	case path == "/up" && r.Method == http.MethodGet:
		f.tellUp(w)
	default:
		turnAway(w, &badRequest{http.StatusNotFound, "no such path"})
	}
}

func (f *Front) tellUp(w http.ResponseWriter) {
	if !f.up() || !f.exchange.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n") // fails only where the client is gone
}

// badRequest is a client's mistake: a plain answer that is no refusal.
type badRequest struct {
	status int
	text   string
}

func (e *badRequest) Error() string { return e.text }

func malformed(format string, args ...any) error {
	return &badRequest{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// turnAway answers a bad request and ends its connection: what follows on it may be anything.
func turnAway(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var bad *badRequest
	if errors.As(err, &bad) {
		status = bad.status
	}
	w.Header().Set("Connection", "close")
	limitWrite(w)
	http.Error(w, err.Error(), status)
}

// api answers a request that servers are to see.
func (f *Front) api(w http.ResponseWriter, r *http.Request, cl *client) {
	class := -1
	if f.cfg.Dialect == nil {
		class = f.cfg.classOf(r.Header)
	}
	if ok, holdOff := f.cfg.Door.Admit(class); !ok {
		f.cfg.countTurnedAway(class, r.Header)
		write(w, core.Refusal(holdOff.Truncate(time.Millisecond)))
		return
	}
	arrived := false
	defer func() {
		if !arrived {
			f.cfg.Door.RequestEnded(class, 0, overload.Inconclusive)
		}
	}()
	c, err := f.parse(r)
	behind := cl.behind()
	if err == nil && c.Message.Stream != nil {
		defer c.Message.Stream.CloseWrite(errGone)
		go feedBody(w, r, c.Message.Stream)
	} else if err == nil && behind == socket.Readable {
		err = malformed("more than the request that was announced")
	}
	if err != nil {
		turnAway(w, err)
		return
	}
	if c.direct != nil {
		write(w, c.direct)
		return
	}
	if c.Message.Stream == nil && behind == socket.Closed {
		// The client has gone before anything was done for it, as all have that a stopped sidecar finds when it goes on.
		w.Header().Set("Connection", "close")
		write(w, core.Refusal(0))
		return
	}
	arrived = true
	f.await(w, r, cl, c)
}

// await hands a call to the exchange and writes its answer.
func (f *Front) await(w http.ResponseWriter, r *http.Request, cl *client, c *call) {
	exchange := exchangeOf(&c.Call, f.exchange)
	exchange.Submit(&c.Call)
	select {
	case a := <-c.answers:
		// Decided when the answer is there, not when the request came: many wait when the end comes.
		if a.Reason == core.DuplicateName || f.leaving() || cl.framing.blind || cl.behind() != socket.Idle || cl.owner.crowded() {
			w.Header().Set("Connection", "close")
		}
		write(w, a)
	case <-r.Context().Done():
		// The client is gone, as far as can be told. One that has only ended its sending is owed an answer all the same.
		exchange.Disconnect(&c.Call)
		select {
		case a := <-c.answers:
			w.Header().Set("Connection", "close")
			write(w, a)
		case <-f.exchange.Done():
			panic(http.ErrAbortHandler)
		}
	case <-f.exchange.Done():
		panic(http.ErrAbortHandler)
	}
}

var errGone = errors.New("the request is over")

// feedBody passes on a body that comes, as fast as both sides allow.
func feedBody(w http.ResponseWriter, r *http.Request, to *bodypipe.Pipe) {
	deadline := http.NewResponseController(w)
	buf := make([]byte, pumped)
	for {
		// Fails only on a closed connection, as the next call on it does.
		_ = deadline.SetReadDeadline(time.Now().Add(readTimeout))
		n, err := r.Body.Read(buf)
		if n > 0 && to.WriteTimeout(buf[:n], streamTimeout) != nil {
			return
		}
		if err == io.EOF {
			to.CloseWrite(nil)
			return
		}
		if err != nil {
			to.CloseWrite(err)
			return
		}
	}
}
