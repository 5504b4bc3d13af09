// Command firplankctl is the command line for operators of the mesh. It plans changes of the configuration, explains the routing of a
// request, reads and writes the configuration, controls rollouts, reviews logs, and checks the data folder of a control machine.
package main

import (
	"io"
	"os"

	"github.com/alecthomas/kong"
)

type commands struct {
	Check   checkCommand    `cmd:"" help:"Validate a configuration and show what is wrong and where."`
	Plan    planCommand     `cmd:"" help:"Show which requests a change of the configuration would move, without applying it."`
	Explain explainCommand  `cmd:"" help:"Show which route of a configuration a request takes, and why."`
	Read    readCommand     `cmd:"" help:"Read the configuration in force from a control machine."`
	Put     putCommand      `cmd:"" help:"Validate a configuration and write it to the control plane."`
	Status  statusCommand   `cmd:"" help:"${statusHelp}"`
	Rollout rolloutCommands `cmd:"" help:"Roll out a new version of a service, show its progress, or recall it."`
	Review  reviewCommand   `cmd:"" help:"Read the logs of several programs and show what happened, the causes and a timeline."`
	Fsck    fsckCommand     `cmd:"" help:"${fsckHelp}"`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("firplankctl"), helpTexts, kong.Description("The operators' command line of the mesh."),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	k.FatalIfErrorf(k.Run())
}
