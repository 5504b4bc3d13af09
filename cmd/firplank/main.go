// Command firplank is the sidecar: a client-side load balancer between one application and the servers that
// discovery lists. It is configured by the NODE_ variables; see README.md.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"cedararch/internal/sidecar"
)

// commands is the command line. Without arguments the sidecar serves.
type commands struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"Serve until SIGTERM (the default)."`
	Check   checkCommand   `cmd:"" help:"Read and check the configuration, and start nothing."`
	Version versionCommand `cmd:"" help:"Show the version."`
	Help    helpCommand    `cmd:"" help:"Show this help."`
}

// files is what a sidecar is configured by, beside the NODE_ variables.
type files struct {
	Config string `help:"Options in TOML, for what is not part of the platform's configuration." placeholder:"FILE" type:"path"`
}

type serveCommand struct{ files }

func (c *serveCommand) Run() error { return sidecar.Main(os.Getenv, c.Config, os.Stderr) }

type checkCommand struct{ files }

func (c *checkCommand) Run(out io.Writer) error {
	cfg, err := sidecar.LoadAll(os.Getenv, c.Config)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, cfg.Summary())
	return nil
}

type versionCommand struct{}

func (versionCommand) Run(out io.Writer) error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version + " " + info.GoVersion
	}
	fmt.Fprintln(out, "firplank", version)
	return nil
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
