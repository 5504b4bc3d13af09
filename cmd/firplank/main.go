// Command firplank is the sidecar: a client-side load balancer between one application and the servers that
// discovery lists. It is configured by the NODE_ variables; see README.md.
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

// commands is the command line. Without arguments the sidecar serves.
type commands struct {
	Serve     serveCommand     `cmd:"" default:"withargs" help:"Serve until SIGTERM (the default)."`
	Check     checkCommand     `cmd:"" help:"Read and check the configuration, and start nothing."`
	Call      callCommand      `cmd:"" help:"Make a request over HTTP or MessagePack-RPC and show the answer."`
	Contracts contractsCommand `cmd:"" help:"Look at the contracts between teams."`
	Fleet     fleetCommand     `cmd:"" help:"What sidecars tell one another."`
	Metrics   metricsCommand   `cmd:"" help:"What monitoring is told."`
	Version   versionCommand   `cmd:"" help:"Show the version."`
	Help      helpCommand      `cmd:"" help:"Show this help."`
}

// files is what a sidecar is configured by, beside the NODE_ variables.
type configFlags struct {
	Config string `help:"Options in TOML, for what is not part of the platform's configuration." placeholder:"FILE" type:"path"`
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
	Method  string        `arg:"" optional:"" help:"The method, for MessagePack-RPC."`
	Params  string        `arg:"" optional:"" help:"Its params, a JSON array."`
	Class   string        `help:"The class, for HTTP."`
	Tenant  string        `help:"The tenant, for HTTP."`
	Key     string        `help:"The idempotency key, for HTTP."`
	Object  string        `help:"What the request is about, for HTTP."`
	Body    string        `help:"The body, for HTTP; without one and without a key it is a GET."`
	Timeout time.Duration `help:"How long to wait." default:"5s"`
	Count   int           `help:"So many requests at once." default:"1"`
}

func (c *callCommand) Run(out io.Writer) error {
	if c.Count < 1 || c.Count > 10000 || c.Timeout <= 0 {
		return fmt.Errorf("--count is %d and --timeout %v: want 1 to 10000, and more than 0", c.Count, c.Timeout)
	}
	return call.Do(context.Background(), &call.Request{
		To: c.To, Method: c.Method, Params: c.Params, Class: c.Class, Tenant: c.Tenant, Key: c.Key, Object: c.Object,
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
	// An empty line would be traced to the default command, and only that one be told of.
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
		kong.Description("A client-side load balancer beside one application. NODE_CONFIG names its configuration, a JSON file; "+
			"NODE_NAME, NODE_LISTEN and NODE_DISCOVERY go before what that says."))
	if err != nil {
		return err
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return ctx.Run(parser)
}
