// Command firplankctl is the operators' command line. It plans changes of the configuration, explains where a request
// goes, reads and writes the configuration at a control machine, and checks a control machine's disk.
package main

import (
	"io"
	"os"

	"github.com/alecthomas/kong"
)

type commands struct {
	Check   checkCommand    `cmd:"" help:"Say whether a configuration is good, and else what is wrong with it and where."`
	Plan    planCommand     `cmd:"" help:"Show what a change of the configuration would move. Nothing is changed."`
	Explain explainCommand  `cmd:"" help:"Say which route a request takes by a configuration, and why."`
	Read    readCommand     `cmd:"" help:"Read the configuration from the core."`
	Put     putCommand      `cmd:"" help:"Write a configuration to the core, once it is checked."`
	Status  statusCommand   `cmd:"" help:"${statusHelp}"`
	Rollout rolloutCommands `cmd:"" help:"Bring in a new version of a service, see how far it is, or recall it."`
	Review  reviewCommand   `cmd:"" help:"Read the logs of many programs and tell what happened, why, and as a timeline."`
	Fsck    fsckCommand     `cmd:"" help:"${fsckHelp}"`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("firplankctl"), helpTexts, kong.Description("The operators' command line of the mesh."),
		kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	k.FatalIfErrorf(k.Run())
}
