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
	// MaxCallers bounds the connections of a console. Where all are in use, the one that has been silent for longest is closed:
	// some callers only hold a connection.
	MaxConsoleConnections = 16

	readTimeout     = 2 * time.Second        // of a call's line
	responseTimeout = 900 * time.Millisecond // a response is due within a second
	maxCallBytes    = 512
	// maxDiscardedBytes is how much is read and dropped behind a line that is too long.
	maxDiscardedBytes = 64 << 10
)

// Call executes a call of operators. arg is the rest of its line. It returns the lines of the response, or an error whose text is
// the response. It is called concurrently.
type Call func(ctx context.Context, arg string) ([]string, error)

// Calls that monitoring makes.
const (
	callStatus  = "STATUS"
	callMetrics = "METRICS"
)

// Calls are the calls of a console by name, in capitals.
type Calls map[string]Call

// withoutArgument makes a call that rejects arguments.
func withoutArgument(do func(ctx context.Context) ([]string, error)) Call {
	return func(ctx context.Context, arg string) ([]string, error) {
		if arg != "" {
			return nil, errors.New("this call takes nothing more")
		}
		return do(ctx)
	}
}

// Sidecar executes the console's calls. It is called concurrently.
type Sidecar interface {
	// Ready reports whether this process can serve.
	Ready() bool
	// Metrics returns the counters, each as name=value.
	Metrics(ctx context.Context) ([]string, error)
	// SetEjected ejects a server, or ends its ejection, from its return on. A server that was never listed is an error.
	SetEjected(ctx context.Context, id string, eject bool) error
	// Pause starts or ends a drain.
	Pause(on bool)
}

// SidecarCalls returns the calls of the operators' pages for a sidecar.
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

// Console serves operators' calls: one line a connection, answered by a line that begins with +OK or -ERR, and lines of the
// call's own. It is safe for concurrent use.
type Console struct {
	calls Calls
	log   *slog.Logger

	mu   sync.Mutex
	idle []net.Conn // callers whose line has not arrived, oldest first
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

// admit adds a caller, for which a silent one may be closed, and reports whether there was room.
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

// evict closes the connection of the caller that has been silent for longest; its goroutine then ends.
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

// lineReceived removes a caller from the silent ones.
func (co *Console) removeIdle(c net.Conn) {
	co.mu.Lock()
	defer co.mu.Unlock()
	for i, idle := range co.idle {
		if idle == c {
			co.idle = append(co.idle[:i:i], co.idle[i+1:]...)
			return
		}
	}
}

// serveCall reads a call from a caller, executes it, responds, and closes the connection.
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
	if name = strings.ToUpper(name); name != callMetrics && name != callStatus { // monitoring makes those all the time
		co.log.Info("operator's call", "call", name, "arg", arg)
	}
	return strings.Join(append([]string{"+OK"}, lines...), "\n") + "\n"
}

// respond writes a response.
func respond(c net.Conn, text string) {
	_, _ = io.WriteString(c, text) // the caller may be gone
}

// drain ends sending and discards what is left to read: closed with unread bytes, the connection would be reset and the response
// lost.
func closeWriteAndDiscard(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()                             // fails only where the connection is closed already
		_, _ = io.CopyN(io.Discard, c, maxDiscardedBytes) // only to empty the receive buffer
	}
}
