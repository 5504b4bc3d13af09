package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"firplank/lab/count"
	"firplank/lab/load"
	"firplank/lab/run"
)

type countCommand struct {
	Folder string        `arg:"" help:"Where the logs are, one a sidecar, in files that end in .log." type:"existingdir"`
	Every  time.Duration `help:"Length of a step." default:"1s"`
}

func (c *countCommand) Run(out io.Writer) error {
	if c.Every < time.Millisecond {
		return errors.New("a step is at least 1ms")
	}
	fleet, err := count.Folder(os.DirFS(c.Folder), c.Every)
	if err != nil {
		return err
	}
	return fleet.Write(out)
}

type loadCommand struct {
	Addr        string   `arg:"" help:"Address of 127.0.0.0/8, with a port."`
	Connections int      `help:"Connections held." default:"1000"`
	Active      int      `help:"Of them, those that send requests; 0: all."`
	Rate        float64  `help:"Requests a second, at random times." default:"100"`
	Rush        bool     `help:"In place of a rate each active connection sends one request, evenly over the time."`
	Seconds     float64  `help:"For which requests are begun." default:"10"`
	Pace        float64  `help:"Connections opened a second; 0: as fast as they come up."`
	Sources     int      `help:"Addresses of 127.0.0.0/8 that connections come from; 0: as many as they need."`
	Wait        float64  `help:"Seconds that an answer is waited for." default:"5"`
	Seed        uint64   `help:"Of the times." default:"1"`
	Method      string   `help:"Of the requests." default:"GET"`
	Path        string   `help:"Of the requests." default:"/api/lookup"`
	Greet       string   `help:"Path that each connection asks for when it is up, so that the server knows it."`
	Header      []string `help:"${headerHelp}" default:"X-Trace-Id:{n},X-Qos:lookup,X-Customer:north,X-Object:7f3a9c21e0b4d655"`
	PID         int      `help:"The server's process, whose memory and processor time are told." name:"pid"`
	JSON        string   `help:"Write the result to a file in JSON." placeholder:"FILE" type:"path" name:"json"`
}

func (c *loadCommand) Run(ctx context.Context, out io.Writer) error {
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: lab.svc\r\n", c.Method, c.Path)
	for _, h := range c.Header {
		name, value, ok := strings.Cut(h, ":")
		if !ok || strings.ContainsAny(h, "\r\n") {
			return fmt.Errorf("load: header %q: want NAME:VALUE", h)
		}
		request += name + ": " + strings.TrimSpace(value) + "\r\n"
	}
	if c.Method == "POST" {
		request += "Content-Length: 0\r\n"
	}
	cfg := load.Config{
		Addr: c.Addr, Connections: c.Connections, Active: c.Active, Rate: c.Rate, Rush: c.Rush, Pace: c.Pace, Sources: c.Sources, Seed: c.Seed,
		Length: time.Duration(c.Seconds * float64(time.Second)), Wait: time.Duration(c.Wait * float64(time.Second)),
		Request: request + "\r\n", PID: c.PID,
	}
	if c.Greet != "" {
		cfg.Greeting = "GET " + c.Greet + " HTTP/1.1\r\nHost: lab.svc\r\n\r\n"
	}
	r, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeToFile(c.JSON, func(w io.Writer) error { return json.NewEncoder(w).Encode(r) }); err != nil {
			return err
		}
	}
	return r.Table(out)
}

type standCommand struct {
	scenarioFlags
	Dir string `help:"Folder for the sidecars' configuration files." default:"." type:"existingdir"`
}

func (c *standCommand) Run(ctx context.Context, out io.Writer) error {
	s, err := c.openScenario()
	if err != nil {
		return err
	}
	return run.Stand(ctx, s, c.Dir, out)
}

type clientsCommand struct {
	scenarioFlags
	To []string `help:"Addresses of the sidecars." required:""`
}

func (c *clientsCommand) Run(ctx context.Context, out io.Writer) error {
	s, err := c.openScenario()
	if err != nil {
		return err
	}
	s.Sidecars = len(c.To)
	r, err := run.Clients(ctx, s, c.To)
	if err != nil {
		return err
	}
	return r.Table(out)
}
