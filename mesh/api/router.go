// Package api is the HTTP interface of the mesh's programs to servers and operators: a Router that dispatches requests to handlers and
// bounds their size, and the JSON form of the control plane's status. The handlers are in other packages.
//
// Start reading at Router.
package api

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// MaxBodyBytes bounds the body of a request. The response to a longer one has status 413.
const MaxBodyBytes = 8 << 20

// wildcard is the path segment of a pattern that matches any segment but an empty one.
const wildcard = "*"

// Request is a request whose body has been read. The Body of the embedded request is at its end.
type Request struct {
	*http.Request
	Args []string // the path segments that the pattern's wildcards have matched, in order
	Body []byte
}

// Response is the response to a request.
type Response struct {
	Status int
	// Body is JSON; nil: there is none.
	Body []byte
	// Location is the header of that name; empty: there is none.
	Location string
	// Close closes the connection after the response.
	Close bool
	// RetryAfter is how long the caller has to wait before it repeats the request here. It is sent in seconds with fractions; 0: no header.
	RetryAfter time.Duration
}

// JSONResponse returns a response with body encoded as JSON. If it cannot be encoded, the response has status 500 and no body.
func JSONResponse(status int, body any) Response {
	text, err := json.Marshal(body)
	if err != nil {
		return Response{Status: http.StatusInternalServerError}
	}
	return Response{Status: status, Body: text}
}

// errorBody is the body of an error response.
type errorBody struct {
	Message string `json:"fault"`
}

// ErrorResponse returns a response whose body contains the text of an error.
func ErrorResponse(status int, err error) Response {
	return JSONResponse(status, errorBody{Message: err.Error()})
}

// Handler returns the response to a request. It is called concurrently, on goroutines of the HTTP server.
type Handler func(*Request) Response

// Router dispatches requests to handlers by method and path. It is the root or a node of a tree; each node below the root stands for one
// segment of a path. The zero value is an empty router. It is safe for concurrent use once all handlers are added.
type Router struct {
	// Rejected is called for each request without a handler, with the status of the response; it may be nil. Only the root's is used.
	Rejected func(r *http.Request, status int)

	literals map[string]*Router
	wildcard *Router
	methods  map[string]Handler
}

// Handle adds a handler for a method and a path pattern, in which the segment "*" matches any non-empty segment. It returns the router.
func (rt *Router) Handle(method, pattern string, h Handler) *Router {
	node := rt
	for _, segment := range splitPath(pattern) {
		node = node.child(segment)
	}
	if node.methods == nil {
		node.methods = map[string]Handler{}
	}
	node.methods[method] = h
	return rt
}

// child returns the child node for a segment, and adds it if it is missing.
func (rt *Router) child(segment string) *Router {
	if segment == wildcard {
		if rt.wildcard == nil {
			rt.wildcard = &Router{}
		}
		return rt.wildcard
	}
	if rt.literals == nil {
		rt.literals = map[string]*Router{}
	}
	if rt.literals[segment] == nil {
		rt.literals[segment] = &Router{}
	}
	return rt.literals[segment]
}

func splitPath(path string) []string {
	path = strings.Trim(path, "/")
	if path == "" {
		return nil
	}
	return strings.Split(path, "/")
}

// lookup returns the node of a path, and args with the segments that wildcards have matched appended. It returns nil if there is no node
// with a handler. Literal segments are preferred to wildcards.
func (rt *Router) lookup(segments, args []string) (*Router, []string) {
	if len(segments) == 0 {
		if rt.methods == nil {
			return nil, nil
		}
		return rt, args
	}
	segment, rest := segments[0], segments[1:]
	if next := rt.literals[segment]; next != nil {
		if node, args := next.lookup(rest, args); node != nil {
			return node, args
		}
	}
	if rt.wildcard != nil && segment != "" {
		return rt.wildcard.lookup(rest, append(args, segment))
	}
	return nil, nil
}

var (
	errNotFound         = errors.New("no such call")
	errMethodNotAllowed = errors.New("the call wants another method")
	errBodyTooLarge     = errors.New("the body is longer than any call's")
)

// ServeHTTP implements http.Handler.
func (rt *Router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	response := rt.respond(w, r)
	header := w.Header()
	if response.Body != nil {
		header.Set("Content-Type", "application/json")
	}
	if response.Location != "" {
		header.Set("Location", response.Location)
	}
	if response.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(response.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if response.Close {
		header.Set("Connection", "close")
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // fails if the caller has disconnected; nothing is left to do then
}

// reject returns the response to a request without a handler.
func (rt *Router) reject(r *http.Request, status int, err error) Response {
	if rt.Rejected != nil {
		rt.Rejected(r, status)
	}
	return ErrorResponse(status, err)
}

func (rt *Router) respond(w http.ResponseWriter, r *http.Request) Response {
	node, args := rt.lookup(splitPath(r.URL.Path), nil)
	if node == nil {
		return rt.reject(r, http.StatusNotFound, errNotFound)
	}
	handler := node.methods[r.Method]
	if handler == nil {
		return rt.reject(r, http.StatusMethodNotAllowed, errMethodNotAllowed)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ErrorResponse(http.StatusRequestEntityTooLarge, errBodyTooLarge)
	case err != nil:
		return ErrorResponse(http.StatusBadRequest, err)
	}
	return handler(&Request{Request: r, Args: args, Body: body})
}
