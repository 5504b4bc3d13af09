// Package operators serves the operators' interfaces of a sidecar: status pages as JSON over HTTP, and a console of one-line
// calls, each on a separate address. It implements serving, routing and limits; the contents of pages and the effects of calls
// are supplied by its users.
//
// pages.go serves pages, console.go calls.
package operators

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/net/netutil"
)

// Page returns the contents of a page, which are encoded as JSON, or an error if ctx ends first. It must be safe for concurrent
// use.
type Page func(ctx context.Context) (any, error)

// requestTimeout bounds reading a request and, separately, collecting the page. Writing may take twice as long.
const requestTimeout = 5 * time.Second

// maxConnections bounds the connections to the pages; further ones wait to be accepted. They count as part of the sidecar's
// reserved sockets, so the number is small.
const maxConnections = 8

const (
	idleTimeout    = time.Minute // for a connection between requests
	maxHeaderBytes = 16 << 10
)

// CheckAddress validates the address of the pages. It must be a loopback address, because the pages have no authentication.
func CheckAddress(addr string) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	if !ap.Addr().IsLoopback() {
		return errors.Errorf("%s is not a loopback address: the pages have no authentication", addr)
	}
	return nil
}

// Serve serves pages by path until ctx ends and closes ln. Requests in progress are then aborted.
func Serve(ctx context.Context, ln net.Listener, pages map[string]Page, log *slog.Logger) error {
	ln = netutil.LimitListener(ln, maxConnections)
	mux := http.NewServeMux()
	for path, page := range pages {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
			defer cancel()
			v, err := page(ctx)
			if err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			e := json.NewEncoder(w)
			e.SetIndent("", " ")
			if err := e.Encode(v); err != nil {
				log.Info("writing a page failed", "path", path, "error", err)
			}
		})
	}
	server := &http.Server{
		Handler:        mux,
		ReadTimeout:    requestTimeout,
		WriteTimeout:   2 * requestTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // serving ends either way
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "operators' pages")
	}
	return nil
}
