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
	Core   int           `help:"Core machines." default:"3"`
	Branch int           `help:"Branch machines for each of the two services." default:"3"`
	For    time.Duration `help:"How long it stands; 0: until it is interrupted." default:"0s"`
}

// meshBill is the configuration that the mesh begins with.
const initialConfig = `{"edition":"00000001","caps":{},"gates":[{"depot":"plates.example","regulations":[
 {"name":"look","routeKind":"safe","targetS":0.5,"precedence":2,"sorting":{"lanePrefix":"/look/"},
  "dispatch":{"line":"records","deadlineS":2,"attempts":2}},
 {"name":"file","routeKind":"unsafe","targetS":0.5,"precedence":1,"sorting":{"lanePrefix":"/file/"},
  "dispatch":{"line":"registry","deadlineS":2,"attempts":2}}]}],
 "fleets":[{"name":"records","healthPath":"/health","maxConns":100},{"name":"registry","healthPath":"/health","maxConns":100}]}`

// Run starts a whole small mesh on loopback and tells how it is spoken to.
func (c *meshCommand) Run(ctx context.Context, out io.Writer) error {
	printer := output.New(out)
	folder, err := os.MkdirTemp("", "firplank-mesh")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }() // a temporary folder, which may stay
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
	err = mesh.Await(10*time.Second, "the configuration is taken", func() bool {
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
	printer.Printf("%d core machines and %d branch machines stand; their settings, disks and logs are in %s\n",
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
