package dataplane

import (
	"context"
	"net/http"
	"time"

	"firplank/mesh/directory"
)

const (
	// identifyTimeout bounds one health check by which a restarted sidecar identifies the local server, and
	// identifyAttempts bounds their number; the server's next heartbeat has the same information and more.
	identifyTimeout  = 400 * time.Millisecond
	identifyAttempts = 4
	// assumedSlots is the capacity of an identified server until its first heartbeat.
	assumedSlots = 8
)

// beginIdentifyingServer starts a goroutine that identifies the local server by its health check, unless one is running.
func (p *Proxy) beginIdentifyingServer() {
	if p.settings.Load().FirstStart || !p.identifying.CompareAndSwap(false, true) {
		return
	}
	p.background.Go(func() {
		defer p.identifying.Store(false)
		p.identifyServer()
	})
}

// identifyServer identifies the local server by its health check while no server is known, or only from one heartbeat that may have been
// delayed. A restarted sidecar has lost the state of the previous process, and the server's next heartbeat may be a second away. A sidecar
// that starts together with its server waits for that heartbeat instead.
func (p *Proxy) identifyServer() {
	cfg := p.cfg.Load()
	settings := p.settings.Load()
	if cfg == nil {
		return
	}
	name := *p.serviceName.Load()
	service := cfg.Services[name]
	if service == nil || service.HealthPath == "" {
		return
	}
	client := http.Client{Timeout: identifyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for range identifyAttempts {
		if p.lastHop.serverConfirmed() || p.shuttingDown.Load() {
			return
		}
		if id := requestServerID(p.ctx, &client, "http://"+settings.AppAddr+service.HealthPath); id != "" {
			p.lastHop.identify(p.now(), &directory.Entry{Server: id, Service: name, Slots: assumedSlots, State: directory.Accepting})
			p.adoptServiceName()
			p.post(serverChanged{})
			return
		}
		select {
		case <-time.After(identifyTimeout / 2):
		case <-p.ctx.Done():
			return
		}
	}
}

// adoptServiceName sets the service name to that of the local server, which may have replaced a server of another service.
func (p *Proxy) adoptServiceName() {
	var own directory.Entry
	p.lastHop.fillEntry(&own)
	if own.Service != "" {
		p.serviceName.Store(&own.Service)
	}
}

// requestServerID returns the ID of the server that passes the health check at url, or an empty string.
func requestServerID(ctx context.Context, client *http.Client, url string) string {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return ""
	}
	resp, err := client.Do(r)
	if err != nil {
		return ""
	}
	_ = resp.Body.Close() // only the headers are used
	if id := resp.Header.Get("Served-By"); resp.StatusCode == http.StatusOK && len(id) <= maxServerIDLength {
		return id
	}
	return ""
}
