// Command firplank is the sidecar: a client-side load balancer between one application and the servers that
// discovery lists. It is configured by the NODE_ environment variables; see README.md.
package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kong"

	"firplank/internal/call"
	"firplank/internal/output"
	"firplank/internal/sidecar"
)

// commands is the command line. The default command is serve.
type commands struct {
	Serve     serveCommand     `cmd:"" default:"withargs" help:"Serve until SIGTERM (the default)."`
	Check     checkCommand     `cmd:"" help:"Check the configuration without starting the sidecar."`
	Call      callCommand      `cmd:"" help:"Send a request over HTTP or MessagePack-RPC and show the response."`
	Contracts contractsCommand `cmd:"" help:"Check, show and explain the contracts of teams."`
	Fleet     fleetCommand     `cmd:"" help:"Show the load reports that sidecars exchange."`
	Metrics   metricsCommand   `cmd:"" help:"List the metrics that are reported to monitoring."`
	Version   versionCommand   `cmd:"" help:"Show the version."`
	Help      helpCommand      `cmd:"" help:"Show this help."`
}

// configFlags are the flags for a sidecar's configuration, which supplement the NODE_ environment variables.
type configFlags struct {
	Config string `help:"Options file in TOML, for options outside the platform's configuration." placeholder:"FILE" type:"path"`
}

type serveCommand struct{ configFlags }

func (c *serveCommand) Run() error { return sidecar.Main(os.Getenv, c.Config, os.Stderr) }

type checkCommand struct{ configFlags }

func (c *checkCommand) Run(out io.Writer) error {
	printer := output.New(out)
	cfg, err := sidecar.LoadAll(os.Getenv, c.Config)
	if err != nil {
		return err
	}
	printer.Println(cfg.Summary())
	return printer.Err()
}

type callCommand struct {
	To      *url.URL      `arg:"" help:"http://HOST:PORT/PATH, or msgpack-rpc://HOST:PORT."`
	Method  string        `arg:"" optional:"" help:"Method (MessagePack-RPC)."`
	Params  string        `arg:"" optional:"" help:"Parameters of the method, a JSON array."`
	Class   string        `help:"Class (HTTP)."`
	Tenant  string        `help:"Tenant (HTTP)."`
	Key     string        `help:"Idempotency key (HTTP)."`
	Object  string        `help:"Object that the request concerns (HTTP)."`
	Body    string        `help:"Body (HTTP). A request without a body and without a key is a GET."`
	Timeout time.Duration `help:"Time to wait for the response." default:"5s"`
	Count   int           `help:"Number of concurrent requests." default:"1"`
}

func (c *callCommand) Run(out io.Writer) error {
	if c.Count < 1 || c.Count > 10000 || c.Timeout <= 0 {
		return fmt.Errorf("--count is %d and --timeout is %v: want a count of 1 to 10000 and a positive time-out", c.Count, c.Timeout)
	}
	return call.Do(context.Background(), &call.Request{
		URL: c.To, Method: c.Method, Params: c.Params, Class: c.Class, Tenant: c.Tenant, IdempotencyKey: c.Key, Object: c.Object,
		Body: c.Body, Timeout: c.Timeout, Count: c.Count,
	}, out)
}

type versionCommand struct{}

func (versionCommand) Run(out io.Writer) error {
	printer := output.New(out)
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	printer.Println("firplank", version)
	return printer.Err()
}

type helpCommand struct{}

func (helpCommand) Run(k *kong.Kong) error {
	// kong resolves empty arguments to the default command and would print the help of that command only.
	ctx := &kong.Context{Kong: k, Path: []*kong.Path{{App: k.Model, Flags: k.Model.Flags}}}
	return ctx.PrintUsage(false)
}

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "firplank:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	parser, err := kong.New(&commands{}, kong.Name("firplank"), kong.BindTo(out, (*io.Writer)(nil)), kong.Writers(out, os.Stderr),
		kong.Description("A client-side load balancer beside one application. NODE_CONFIG names its configuration, a JSON file. "+
			"NODE_NAME, NODE_LISTEN and NODE_DISCOVERY override values of that file."))
	if err != nil {
		return err
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return ctx.Run(parser)
}
