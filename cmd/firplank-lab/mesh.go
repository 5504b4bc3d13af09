package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"firplank/internal/output"
	"firplank/lab/mesh"
)

type meshCommand struct {
	Core   int           `help:"Control machines." default:"3"`
	Branch int           `help:"Machines with a server and a sidecar, for each of the two services." default:"3"`
	For    time.Duration `help:"Run time; 0: until interrupted." default:"0s"`
}

// initialConfig is the first configuration of the mesh.
const initialConfig = `{"edition":"00000001","caps":{},"gates":[{"depot":"plates.example","regulations":[
 {"name":"look","routeKind":"safe","targetS":0.5,"precedence":2,"sorting":{"lanePrefix":"/look/"},
  "dispatch":{"line":"records","deadlineS":2,"attempts":2}},
 {"name":"file","routeKind":"unsafe","targetS":0.5,"precedence":1,"sorting":{"lanePrefix":"/file/"},
  "dispatch":{"line":"registry","deadlineS":2,"attempts":2}}]}],
 "fleets":[{"name":"records","healthPath":"/health","maxConns":100},{"name":"registry","healthPath":"/health","maxConns":100}]}`

// Run runs a small mesh on loopback and prints example commands.
func (c *meshCommand) Run(ctx context.Context, out io.Writer) error {
	printer := output.New(out)
	folder, err := os.MkdirTemp("", "firplank-mesh")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover temporary folder does no harm
	if err := mesh.Build(ctx, folder, false, "firplank/cmd/firplankctl"); err != nil {
		return err
	}
	m, err := mesh.Start(mesh.Config{
		Folder: folder, Programs: folder, Net: 77, Core: c.Core,
		Services: map[string]int{"records": c.Branch, "registry": c.Branch}, Work: 20 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer m.Stop()
	err = mesh.Await(10*time.Second, "the configuration is committed", func() bool {
		status, err := m.Core[0].Put([]byte(initialConfig))
		return err == nil && status == http.StatusOK
	})
	if err != nil {
		return err
	}
	for _, sidecar := range m.Branch {
		if err := mesh.Await(10*time.Second, sidecar.Name+" is ready", sidecar.Ready); err != nil {
			return err
		}
	}
	printer.Printf("%d control machines and %d branch machines are running; their settings, disks and logs are in %s\n",
		len(m.Core), len(m.Branch), folder)
	printer.Printf("a request:          curl -H 'Host: plates.example' -H 'Try-Id: one' -H 'Deadline-Ms: 2000' "+
		"http://%s:7304/look/1\n", m.Branch[0].IP)
	printer.Printf("the configuration:  %s read %s:7306\n", filepath.Join(folder, "firplankctl"), m.Core[0].IP)
	if c.For > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, c.For)
		defer stop()
	}
	<-ctx.Done()
	return printer.Err()
}
