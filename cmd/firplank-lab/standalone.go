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
	Folder string        `arg:"" help:"Folder of the logs, one file for each sidecar, with the extension .log." type:"existingdir"`
	Every  time.Duration `help:"Length of an interval." default:"1s"`
}

func (c *countCommand) Run(out io.Writer) error {
	if c.Every < time.Millisecond {
		return errors.New("--every: want at least 1ms")
	}
	fleet, err := count.ReadFolder(os.DirFS(c.Folder), c.Every)
	if err != nil {
		return err
	}
	return fleet.Write(out)
}

type loadCommand struct {
	Addr        string   `arg:"" help:"Address in 127.0.0.0/8, with a port."`
	Connections int      `help:"Open connections." default:"1000"`
	Active      int      `help:"Connections that send requests; 0: all."`
	Rate        float64  `help:"Requests a second, with Poisson arrivals." default:"100"`
	Rush        bool     `help:"Send one request on each active connection, spread evenly over the time, instead of at a rate."`
	Seconds     float64  `help:"Seconds in which requests are sent." default:"10"`
	Pace        float64  `help:"Connections opened a second; 0: as fast as possible."`
	Sources     int      `help:"Source addresses in 127.0.0.0/8; 0: as many as the ports require."`
	Wait        float64  `help:"Time-out of a response in seconds." default:"5"`
	Seed        uint64   `help:"Seed of the arrival times." default:"1"`
	Method      string   `help:"Method of the requests." default:"GET"`
	Path        string   `help:"Path of the requests." default:"/api/lookup"`
	Greet       string   `help:"Path of a request sent on each new connection, so that the server has seen the connection."`
	Header      []string `help:"${headerHelp}" default:"X-Trace-Id:{n},X-Qos:lookup,X-Customer:north,X-Object:7f3a9c21e0b4d655"`
	PID         int      `help:"Process of the server, to measure its memory and processor time." name:"pid"`
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
		Addr: c.Addr, Connections: c.Connections, Active: c.Active, Rate: c.Rate, Rush: c.Rush,
		ConnectionsPerSecond: c.Pace, Sources: c.Sources, Seed: c.Seed,
		Length: time.Duration(c.Seconds * float64(time.Second)), ResponseTimeout: time.Duration(c.Wait * float64(time.Second)),
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
	return run.RunStandIns(ctx, s, c.Dir, out)
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
	r, err := run.RunClients(ctx, s, c.To)
	if err != nil {
		return err
	}
	return r.Table(out)
}
