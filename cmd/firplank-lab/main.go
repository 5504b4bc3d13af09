// Command firplank-lab is the failure laboratory. It plays scenarios of faults against real sidecar processes on loopback and judges the
// results. See docs/operators/lab.md.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands are the subcommands. Hidden ones are for processes that the laboratory starts itself.
type commands struct {
	Run     runCommand        `cmd:"" help:"Play a scenario and judge it."`
	List    listCommand       `cmd:"" help:"List the built-in scenarios and the kinds of faults."`
	Compare compareCommand    `cmd:"" help:"Play a scenario with firplank and with other proxies, and compare the worth served."`
	Through throughputCommand `cmd:"" name:"throughput" help:"${throughHelp}"`
	Report  reportingCommand  `cmd:"" name:"reporting" help:"${reportHelp}"`
	Shed    shedCommand       `cmd:"" help:"${shedHelp}"`
	Explore exploreCommand    `cmd:"" help:"${exploreHelp}"`
	Mesh    meshCommand       `cmd:"" help:"Run a small mesh on loopback with stand-in servers until interrupted."`
	Soak    soakCommand       `cmd:"" help:"${soakHelp}"`
	Scale   scaleCommand      `cmd:"" help:"${scaleHelp}"`
	Reckon  reckonCommand     `cmd:"" help:"${reckonHelp}"`
	Hollow  hollowCommand     `cmd:"" hidden:""`
	Count   countCommand      `cmd:"" help:"Sum the counters that the sidecars of a fleet log at level debug."`
	Load    loadCommand       `cmd:"" help:"Hold connections to an HTTP address on loopback and send requests on some of them, open loop."`
	Stand   standCommand      `cmd:"" help:"Start a scenario's servers and roster, for sidecars and clients that you start yourself."`
	Clients clientsCommand    `cmd:"" help:"Play a scenario's clients against running sidecars."`
	Child   childCommand      `cmd:"" hidden:""`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := execute(ctx, os.Args[1:], os.Stdout)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "firplank-lab:", err)
		os.Exit(1)
	}
}

// execute parses and runs a command line, with out as standard output.
func execute(ctx context.Context, args []string, out io.Writer) error {
	parser, err := kong.New(&commands{}, kong.Name("firplank-lab"), helpTexts, kong.BindTo(out, (*io.Writer)(nil)),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Writers(out, os.Stderr),
		kong.Description("A failure laboratory for firplank: stand-in servers, roster and clients on loopback, faults on a "+
			"timeline, and a judge."))
	if err != nil {
		return err
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return parsed.Run()
}
