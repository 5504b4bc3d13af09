package sidecar

import (
	"log/slog"
	"net"

	"github.com/go-faster/errors"

	"firplank/internal/handover"
	"firplank/internal/socket"
)

// Names under which processes of a sidecar pass listeners to each other. They must not change between releases, because the
// two processes may be of different releases during an upgrade.
const (
	httpListener  = "http"
	rpcListener   = "MessagePack-RPC"
	pagesListener = "operators"
)

// listeners holds the listening sockets of a sidecar.
type listeners struct {
	http net.Listener
	rpc  net.Listener // nil: no MessagePack-RPC for clients

	pages    net.Listener // nil: no operators' pages
	console  net.Listener // nil: no operators' calls
	instance *handover.Instance
	log      *slog.Logger
	// openDeferred opens http, rpc and pages once this process is ready; nil: they are already open.
	openDeferred func(*listeners) error
}

// byName returns the listeners that a successor process can inherit, by name.
func (l *listeners) byName() map[string]net.Listener {
	inheritable := map[string]net.Listener{httpListener: l.http, rpcListener: l.rpc, pagesListener: l.pages}
	for name, ln := range inheritable {
		if ln == nil {
			delete(inheritable, name)
		}
	}
	return inheritable
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.http, l.rpc, l.pages, l.console} {
		if ln != nil {
			_ = ln.Close() // accepting ends either way
		}
	}
}

// openListeners opens the listeners of the fronts and of the operators' pages. A listener of the previous process is inherited
// if its address is the same. If admin_addr is set, a later process may listen on the same addresses at the same time.
func (c *Config) openListeners(l *listeners) error {
	inherited := l.inherit()
	defer func() {
		for _, ln := range inherited { // listeners whose address is no longer configured
			_ = ln.Close() // accepting ends either way
		}
	}()
	for _, target := range []struct {
		addr string
		ln   *net.Listener
		name string
	}{
		{c.Listen, &l.http, httpListener},
		{c.Options.MsgpackRPC.Listen, &l.rpc, rpcListener},
		{c.Options.Operators.Listen, &l.pages, pagesListener},
	} {
		if target.addr == "" {
			continue
		}
		if ln := inherited[target.name]; ln != nil && ln.Addr().String() == target.addr {
			delete(inherited, target.name)
			*target.ln = ln
			continue
		}
		ln, err := socket.Listen(target.addr, c.Admin != "")
		if err != nil {
			return errors.Wrapf(err, "listen for %s", target.name)
		}
		*target.ln = ln
	}
	return nil
}

// inherit returns the listeners of the previous process by name. It returns none if there is no previous process or they
// cannot be received from it.
func (l *listeners) inherit() map[string]net.Listener {
	if l.instance == nil || !l.instance.Peers().Older {
		return nil
	}
	inherited, err := l.instance.InheritListeners()
	if err != nil {
		l.log.Warn("inheriting listeners failed: new connections may be lost when the previous process ends", "error", err)
	}
	return inherited
}
