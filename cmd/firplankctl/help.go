package main

import "github.com/alecthomas/kong"

// helpTexts are the help texts that are too long for a struct tag on one line.
var helpTexts = kong.Vars{
	"statusHelp": "Show the control machines: members, voters, which of them have the newest version, the holder of the lease, " +
		"and whether all members have full copies.",
	"fsckHelp": "Show the content of a control machine's data folder and check it for damage. The machine's process must " +
		"not be running.",
	"logsHelp": "Log files. The node is the file's name without its extension, unless a line begins with a node's name. " +
		"A single dash is standard input.",
}
