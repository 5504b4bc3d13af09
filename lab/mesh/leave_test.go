package mesh

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"firplank/mesh/api"
)

// status returns the status of the control plane as a control machine reports it.
func status(m *Mesh, x *Machine) (s api.ControlStatus, err error) {
	resp, err := m.client.Get("http://" + x.settings["addresses"].(map[string]string)["control"] + api.StatusPath)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// A control machine that gets SIGTERM hands its membership to the stand-by within two thirds of graceS (the test allows all of it). What it
// stored is on the other members' disks: after another member is killed the configuration can still be read.
func TestControlMachineShutdownHandsOverMembership(t *testing.T) {
	m := start(t, 23)
	first, err := status(m, m.Core[1])
	must(t, err)
	leaver := m.Core[0]
	if !slices.ContainsFunc(first.Members, func(a string) bool { return strings.HasPrefix(a, leaver.IP+":") }) || len(first.Members) != 3 {
		t.Fatalf("members at first: %v", first.Members)
	}
	leaver.Kill() // restart it with a graceS that suffices on a slow disk
	leaver.settings["bounds"] = []string{"graceS=30"}
	must(t, leaver.Start(false))
	must(t, Await(10*time.Second, "all have full copies", func() bool {
		s, err := status(m, leaver)
		return err == nil && s.FullyReplicated
	}))
	must(t, Await(10*time.Second, "a configuration is accepted", func() bool {
		answered, err := leaver.Put(config(8))
		return err == nil && answered == http.StatusOK
	}))
	leaver.Signal(syscall.SIGTERM)
	select {
	case <-leaver.done:
	case <-time.After(30 * time.Second):
		t.Fatal("the control machine did not end within graceS")
	}
	if log := leaver.Log(); !strings.Contains(log, "shutdown completed in order") {
		t.Errorf("the log does not report a graceful shutdown:\n%s", log)
	}
	must(t, Await(10*time.Second, "the stand-by is a member and all have full copies", func() bool {
		s, err := status(m, m.Core[1])
		return err == nil && s.FullyReplicated && len(s.Members) == 3 && len(s.PreviousMembers) == 0 &&
			!slices.ContainsFunc(s.Members, func(a string) bool { return strings.HasPrefix(a, leaver.IP+":") })
	}))
	m.Core[1].Kill() // the remaining majority has what was acknowledged
	must(t, Await(10*time.Second, "the configuration is read back", func() bool {
		answered, body, err := m.Core[3].Read()
		return err == nil && answered == http.StatusOK && string(body) == string(config(8))
	}))
}
