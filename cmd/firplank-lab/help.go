package main

import "github.com/alecthomas/kong"

// helpTexts are the texts that would not fit into the lines of the structs of the command line.
var helpTexts = kong.Vars{
	"throughHelp": "Measure requests a second of processor over HTTP and MessagePack-RPC, and through the standard " +
		"library's reverse proxy.",
	"reportHelp": "Measure what reports to monitoring cost requests: off, on, and with a receiver that never " +
		"reads.",
	"shedHelp": "Reckon the most that a scenario lets anyone serve, and play ways of shedding against models of " +
		"its servers, in virtual time.",
	"exploreHelp": "Play a decision against all that its surroundings may do, in every order up to a depth and at " +
		"random beyond it.",
	"soakHelp": "Run small meshes of real processes under overlapping troubles, with the invariants on, and judge " +
		"what clients, servers and operators see. A seed plays the same troubles again.",
	"scaleHelp": "Measure how the load of the mesh's control side grows with the number of sidecars: many hollow " +
		"ones beside true processes, on loopback.",
	"reckonHelp": "Reckon what each role of a mesh sends and gets, by construction, as built and as planned. " +
		"Nothing is played.",
	"fleetHelp": "What sidecars tell one another, over links that lose, delay and cut and processes that crash " +
		"and stand still: do their sums hold the truth, and agree in the end?",
	"registerHelp": "The register of the mesh's control plane, over links, disks and machines that fail: is what it " +
		"acknowledged lost, taken back or changed?",
	"leaseHelp": "A lease that one core machine holds, over links, clocks and machines that fail: do two ever " +
		"hold it at once, and does one in the end?",
	"numbersHelp": "Operators' orders under numbers that rise, fall and are taken, sent again after lost answers, " +
		"over the register of the mesh's control plane: has each number one content?",
	"cutoffHelp": "A control machine that is cut off for twenty seconds, with sidecars restarted and changes in a " +
		"storm: does it confirm, mislead or refuse for good, and does what is acknowledged come into " +
		"force?",
	"membersHelp": "Control machines that are lost one after the other as soon as they may be: is there always a " +
		"majority again, and is nothing confirmed lost?",
	"callsHelp": "Requests that must not run twice, over connections that break, fall silent and bring answers " +
		"late, twice and early, and last hops that restart: does one run twice, or get another's answer " +
		"or a false promise?",
	"catchupHelp": "A long life of the control plane's register over its shipped store: members killed, without " +
		"power, wiped, with full disks and away for half of all changes. Do they catch up, and is " +
		"anybody told of old state?",
	"rosterHelp": "How a sidecar follows the list of servers, against a discovery that fails in every order: is a " +
		"list used past what it lacks?",
	"headerHelp": "Of the requests, NAME:VALUE; {n} is a number that is another each time.",
}
