package main

import (
	"io"

	"firplank/internal/output"
	"firplank/mesh/config"
)

type explainCommand struct {
	Host        string `arg:"" help:"Host of the request."`
	Path        string `arg:"" help:"Path of the request."`
	File        string `help:"Configuration file." xor:"from" required:""`
	ControlAddr string `name:"core" help:"Control address of a control machine to read the configuration from." xor:"from" required:""`
}

// Run prints the route that matches a request, and the reason.
func (c *explainCommand) Run(out io.Writer) error {
	printer := output.New(out)
	cfg, _, err := loadConfig(c.File, c.ControlAddr)
	if err != nil {
		return err
	}
	route := cfg.Match(c.Host, c.Path)
	if route == nil {
		printer.Printf("no route of edition %v takes %s%s: the answer is 404\n", cfg.Version, c.Host, c.Path)
		return printer.Err()
	}
	printer.Printf("route %s of edition %v: its prefix %s is the longest of %s that begins the path\n", route.Name,
		cfg.Version, route.Match.Prefix, c.Host)
	for _, s := range route.Services {
		printer.Printf("to %s (share %v)\n", s.Service, s.Weight)
	}
	printRoute(printer, route)
	return printer.Err()
}

// printRoute prints the retry, latency and admission parameters of a route.
func printRoute(printer *output.Printer, route *config.Route) {
	retries := "it runs at most once for each try: it is sent on only where it is proven not to have run"
	if route.Idempotent() {
		retries = "it may run again: after a failure it goes to the healthiest server that it has not tried"
	}
	printer.Printf("kind %s: %s\nup to %d servers, %v s at most, full worth within %v s; rank %d at a server's admission",
		route.Kind, retries, route.Action.MaxAttempts, route.Action.TimeoutS, route.LatencyTargetS, route.Rank)
	if route.Rank != route.Precedence {
		printer.Printf(" in place of precedence %d, as other routes to the service leave clearly longer time", route.Precedence)
	}
	printer.Println()
}
