package operators

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"firplank/internal/socket"
)

const (
	// MaxConsoleConnections bounds the connections of a console. If all are in use, the one that has been idle for longest is
	// closed, because some clients only hold a connection open.
	MaxConsoleConnections = 16

	readTimeout     = 2 * time.Second        // for the line of a call
	responseTimeout = 900 * time.Millisecond // a response is due within a second
	maxCallBytes    = 512
	// maxDiscardedBytes bounds how much is read and discarded after a line that is too long.
	maxDiscardedBytes = 64 << 10
)

// Call executes one call of the console. arg is the rest of its line. It returns the lines of the response, or an error whose
// text is sent as the response. It must be safe for concurrent use.
type Call func(ctx context.Context, arg string) ([]string, error)

// Calls made regularly by monitoring; they are not logged.
const (
	callStatus  = "STATUS"
	callMetrics = "METRICS"
)

// Calls maps the names of a console's calls, in upper case, to their functions.
type Calls map[string]Call

// withoutArgument returns a call that rejects arguments.
func withoutArgument(do func(ctx context.Context) ([]string, error)) Call {
	return func(ctx context.Context, arg string) ([]string, error) {
		if arg != "" {
			return nil, errors.New("this call takes nothing more")
		}
		return do(ctx)
	}
}

// Sidecar executes the console's calls. Its methods must be safe for concurrent use.
type Sidecar interface {
	// Ready reports whether this process can serve requests.
	Ready() bool
	// Metrics returns the metrics, each as name=value.
	Metrics(ctx context.Context) ([]string, error)
	// SetEjected ejects a server or ends its ejection. The change is in effect when it returns. It returns an error for a
	// server that was never listed.
	SetEjected(ctx context.Context, id string, eject bool) error
	// Pause starts or ends a drain.
	Pause(on bool)
}

// SidecarCalls returns the console's calls for a sidecar.
func SidecarCalls(s Sidecar) Calls {
	setEjected := func(eject bool) Call {
		return func(ctx context.Context, id string) ([]string, error) {
			if id == "" || strings.ContainsAny(id, " \t") {
				return nil, errors.New("want the id of one server")
			}
			return nil, s.SetEjected(ctx, id, eject)
		}
	}
	setPaused := func(on bool) Call {
		return withoutArgument(func(context.Context) ([]string, error) {
			s.Pause(on)
			return nil, nil
		})
	}
	return Calls{
		callStatus: withoutArgument(func(context.Context) ([]string, error) {
			if !s.Ready() {
				return nil, errors.New("not ready")
			}
			return nil, nil
		}),
		callMetrics: withoutArgument(func(ctx context.Context) ([]string, error) {
			lines, err := s.Metrics(ctx)
			return append(lines, "."), err
		}),
		"SUSPEND": setEjected(true),
		"RESTORE": setEjected(false),
		"PAUSE":   setPaused(true),
		"RESUME":  setPaused(false),
	}
}

// Console serves operators' calls: one line per connection, answered by a line that begins with +OK or -ERR and by further lines
// that depend on the call. It is safe for concurrent use.
type Console struct {
	calls Calls
	log   *slog.Logger

	mu   sync.Mutex
	idle []net.Conn // connections whose line has not been received, oldest first
	open int
}

// NewConsole returns a console for calls.
func NewConsole(calls Calls, log *slog.Logger) *Console { return &Console{calls: calls, log: log} }

// Serve serves until ctx ends, closes ln, and waits for calls in progress.
func (co *Console) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() }) // accepting ends either way
	defer stop()
	var handlers sync.WaitGroup
	defer handlers.Wait()
	for {
		c, err := socket.Accept(ln, co.evict)
		if ctx.Err() != nil {
			if err == nil {
				_ = c.Close() // the connection is released even where this fails
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "operators' console")
		}
		if !co.admit(c) {
			_ = c.Close() // the connection is released even where this fails
			continue
		}
		handlers.Go(func() {
			// Fails only on a closed connection, as the next call on it does.
			stopDeadline := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now().Add(responseTimeout)) })
			defer stopDeadline()
			co.serveCall(ctx, c)
		})
	}
}

// admit adds a connection and reports whether there was room for it. At the limit the longest idle connection is closed.
func (co *Console) admit(c net.Conn) bool {
	co.mu.Lock()
	atCapacity := co.open >= MaxConsoleConnections
	co.mu.Unlock()
	if atCapacity && !co.evict() {
		return false
	}
	co.mu.Lock()
	defer co.mu.Unlock()
	co.open++
	co.idle = append(co.idle, c)
	return true
}

// evict closes the longest idle connection, whose goroutine then ends. It returns false if no connection is idle.
func (co *Console) evict() bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if len(co.idle) == 0 {
		return false
	}
	_ = co.idle[0].Close() // the connection is released even where this fails
	co.idle = co.idle[1:]
	return true
}

// removeIdle removes a connection from the idle ones.
func (co *Console) removeIdle(c net.Conn) {
	co.mu.Lock()
	defer co.mu.Unlock()
	for i, conn := range co.idle {
		if conn == c {
			co.idle = append(co.idle[:i:i], co.idle[i+1:]...)
			return
		}
	}
}

// serveCall reads a call, executes it, writes the response and closes the connection.
func (co *Console) serveCall(ctx context.Context, c net.Conn) {
	defer func() {
		co.removeIdle(c)
		_ = c.Close() // the connection is released even where this fails
		co.mu.Lock()
		co.open--
		co.mu.Unlock()
	}()
	_ = c.SetDeadline(time.Now().Add(readTimeout)) // fails only on a closed connection, as the next call on it does
	line, err := bufio.NewReaderSize(io.LimitReader(c, maxCallBytes), maxCallBytes).ReadString('\n')
	co.removeIdle(c)
	if err != nil && line == "" {
		return
	}
	_ = c.SetDeadline(time.Now().Add(readTimeout)) // fails only on a closed connection, as the next call on it does
	if err != nil {                                // an incomplete line may be part of another call: nothing is executed
		respond(c, "-ERR a line that does not end\n")
		closeWriteAndDiscard(c)
		return
	}
	name, arg, _ := strings.Cut(strings.TrimSpace(line), " ")
	respond(c, co.execute(ctx, name, strings.TrimSpace(arg)))
}

// execute executes a call and returns its response.
func (co *Console) execute(ctx context.Context, name, arg string) string {
	call := co.calls[strings.ToUpper(name)]
	if call == nil {
		return "-ERR no such call\n"
	}
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	lines, err := call(ctx, arg)
	if err != nil {
		co.log.Info("operator's call failed", "call", name, "error", err)
		return fmt.Sprintf("-ERR %s\n", strings.ReplaceAll(err.Error(), "\n", " "))
	}
	if name = strings.ToUpper(name); name != callMetrics && name != callStatus { // monitoring makes these too often to log
		co.log.Info("operator's call", "call", name, "arg", arg)
	}
	return strings.Join(append([]string{"+OK"}, lines...), "\n") + "\n"
}

// respond writes a response.
func respond(c net.Conn, text string) {
	_, _ = io.WriteString(c, text) // the client may have closed the connection
}

// closeWriteAndDiscard half-closes the connection and discards unread input. Closing a connection with unread input would reset
// it, and the response would be lost.
func closeWriteAndDiscard(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()                             // fails only if the connection is already closed
		_, _ = io.CopyN(io.Discard, c, maxDiscardedBytes) // only to empty the receive buffer
	}
}
