package peer

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Fast is the policy name of the proxy on fasthttp, which uses round robin. It is for comparing the cost of a request, not the
// choice of servers.
const Fast = "fasthttp"

// serveFast serves like the other policies, but on fasthttp.
func (p *proxy) serveFast(ctx context.Context, ln net.Listener) error {
	client := &fasthttp.Client{
		MaxConnsPerHost: 10_000, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	server := &fasthttp.Server{
		NoDefaultServerHeader: true, CloseOnShutdown: true,
		Handler: func(r *fasthttp.RequestCtx) {
			if string(r.Path()) == "/up" {
				r.SetBodyString("ready\n")
				return
			}
			b := p.choose()
			if b == nil {
				r.Error("no server", fasthttp.StatusBadGateway)
				return
			}
			host := string(r.Request.Host())
			r.Request.URI().SetScheme("http")
			r.Request.URI().SetHost(b.addr)
			r.Request.UseHostHeader = true
			r.Request.Header.SetHost(host)
			r.Request.Header.Del("Connection")
			if err := client.DoTimeout(&r.Request, &r.Response, remainingTime(string(r.Request.Header.Peek("X-Expires-In")))); err != nil {
				r.Response.Reset()
				r.SetStatusCode(fasthttp.StatusBadGateway)
				return
			}
			r.Response.Header.Del("Connection")
		},
	}
	defer client.CloseIdleConnections()
	return serveUntil(ctx, ln, server.Serve, server.ShutdownWithContext)
}
