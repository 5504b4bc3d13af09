package mesh

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against a configuration of the version 00000000 that is acknowledged and lost, as 0 stood for no configuration. It must be served
// and read back, also after the core was killed, another content of that version must be rejected, and a higher version must replace it.
func TestLowestVersionIsAConfiguration(t *testing.T) {
	programs, err := built()
	must(t, err)
	m, err := Start(Config{Folder: t.TempDir(), Programs: programs, Net: 63, Core: 3, Services: map[string]int{"records": 2, "registry": 1}})
	must(t, err)
	stopAtEnd(t, m)
	must(t, Await(10*time.Second, "the first configuration is accepted", func() bool {
		status, err := m.Core[0].Put(config(0))
		return err == nil && status == http.StatusOK
	}))
	if status, err := m.Core[1].Put(append(config(0), ' ')); err != nil || status != http.StatusConflict {
		t.Errorf("another content of the version: %d, %v", status, err)
	}
	awaitServed(t, m, 0)
	for _, x := range m.Core {
		x.Signal(syscall.SIGKILL)
	}
	for _, x := range m.Core {
		<-x.Done()
		must(t, x.Start(false))
	}
	awaitServed(t, m, 0)
	must(t, Await(10*time.Second, "a higher version is accepted", func() bool {
		status, err := m.Core[2].Put(config(1))
		return err == nil && status == http.StatusOK
	}))
	awaitServed(t, m, 1)
}

// awaitServed waits until all control machines return a version and all branch machines serve requests.
func awaitServed(t *testing.T, m *Mesh, edition int) {
	t.Helper()
	for _, x := range m.Core {
		must(t, Await(10*time.Second, "the configuration is read back from "+x.Name, func() bool {
			status, body, err := x.Read()
			return err == nil && status == http.StatusOK && string(body) == string(config(edition))
		}))
	}
	for i, x := range m.Branch {
		must(t, Await(10*time.Second, x.Name+" serves", func() bool {
			status, _, err := x.Send(http.MethodGet, "plates.example", "/look/1", fmt.Sprintf("served-%d-%d", edition, i), nil)
			return err == nil && status == http.StatusOK
		}))
	}
}
