package main

import "github.com/alecthomas/kong"

// helpTexts are the help texts that are too long for a struct tag on one line.
var helpTexts = kong.Vars{
	"throughHelp": "Measure requests per second of processor time over HTTP and MessagePack-RPC, and through the standard " +
		"library's reverse proxy.",
	"reportHelp": "Measure the cost of reports to monitoring for requests: without reports, with them, and with a receiver that never " +
		"reads.",
	"shedHelp": "Compute the upper bound of what can be served in a scenario, and compare ways of load shedding against models " +
		"of its servers, in virtual time.",
	"exploreHelp": "Check a module against all events that its environment can cause, in every order up to a depth and at random " +
		"beyond it.",
	"soakHelp": "Run small meshes of real processes under overlapping faults, with the invariants enabled, and judge what clients, " +
		"servers and operators observe. A seed repeats the same faults.",
	"scaleHelp": "Measure how the load of the mesh's control plane grows with the number of sidecars: many simulated ones beside " +
		"real processes, on loopback.",
	"reckonHelp": "Calculate what each role of a mesh sends and receives, by construction, as built and as planned. " +
		"Nothing is played.",
	"fleetHelp": "The load reports that sidecars exchange, over links that lose, delay and cut messages and processes that crash " +
		"and are suspended: are the totals correct, and do they converge?",
	"registerHelp": "The register of the mesh's control plane, over faulty links, disks and machines: is an acknowledged write " +
		"lost, reverted or changed?",
	"leaseHelp": "A lease that one control machine holds, over faulty links, clocks and machines: do two machines ever hold it at " +
		"once, and does one hold it after all is repaired?",
	"tombstonesHelp": "The records of servers that shut down, on the control machines of a mesh, over faulty links, disks and processes: " +
		"does a sidecar that restarts read every shutdown that was acknowledged?",
	"numbersHelp": "Operators' writes under edition numbers that rise, fall and are in use, repeated after lost responses, over " +
		"the register of the mesh's control plane: does each number have one content?",
	"cutoffHelp": "A control machine that is partitioned for twenty seconds, with sidecar restarts and a storm of changes: does it " +
		"falsely confirm, serve wrong state or reject for good, and do acknowledged changes come into " +
		"force?",
	"membersHelp": "Control machines that are lost one after the other, as soon as the tolerance allows: is there always a " +
		"majority again, and is no confirmed write lost?",
	"callsHelp": "Requests that must not run twice, over connections that break, stall and deliver responses late, twice and early, " +
		"and last hops that restart: does a request run twice, or get the response of another, or is one " +
		"falsely reported as not run?",
	"catchupHelp": "A long run of the control plane's register over its shipped store: members are killed, lose power, are wiped, " +
		"have full disks and are away for half of all changes. Do they catch up, and is old state ever published?",
	"rosterHelp": "How a sidecar follows the list of servers, against a discovery service that fails in any order: is a list used " +
		"although it lacks changes that were published?",
	"headerHelp": "Header of the requests, NAME:VALUE; {n} is replaced by a number that differs in each request.",
}
