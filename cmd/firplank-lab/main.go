// Command firplank-lab is the failure laboratory: it plays a day of trouble against real sidecar processes on loopback
// and judges them. See docs/operators/lab.md.
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

// commands is the command line.
type commands struct {
	Run     runCommand        `cmd:"" help:"Play a scenario and judge it."`
	List    listCommand       `cmd:"" help:"List the built-in scenarios and the kinds of faults."`
	Compare compareCommand    `cmd:"" help:"Play a scenario through firplank and through other proxies, and compare the worth served."`
	Through throughputCommand `cmd:"" name:"throughput" help:"${throughHelp}"`
	Report  reportingCommand  `cmd:"" name:"reporting" help:"${reportHelp}"`
	Shed    shedCommand       `cmd:"" help:"${shedHelp}"`
	Explore exploreCommand    `cmd:"" help:"${exploreHelp}"`
	Mesh    meshCommand       `cmd:"" help:"Start a whole small mesh on loopback, with stand-in servers, until it is interrupted."`
	Soak    soakCommand       `cmd:"" help:"${soakHelp}"`
	Scale   scaleCommand      `cmd:"" help:"${scaleHelp}"`
	Reckon  reckonCommand     `cmd:"" help:"${reckonHelp}"`
	Hollow  hollowCommand     `cmd:"" hidden:""`
	Count   countCommand      `cmd:"" help:"Add up, over a whole fleet, what sidecars record in their logs at debug level."`
	Load    loadCommand       `cmd:"" help:"Hold connections to an HTTP address on loopback and send requests on some of them, open loop."`
	Stand   standCommand      `cmd:"" help:"Start a scenario's servers and roster for sidecars and clients of your own."`
	Clients clientsCommand    `cmd:"" help:"Play a scenario's clients against sidecars that run already."`
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
