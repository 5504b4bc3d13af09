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

// status asks a control machine for what it knows of the control plane.
func status(m *Mesh, x *Machine) (s api.ControlStatus, err error) {
	resp, err := m.client.Get("http://" + x.settings["addresses"].(map[string]string)["control"] + api.StatusPath)
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// A control machine that is asked to end hands its place to the one that stands by, within two thirds of graceS, and
// what it had is on the others' disks.
func TestControlMachineShutdownHandsOverMembership(t *testing.T) {
	m := start(t, 23)
	first, err := status(m, m.Core[1])
	must(t, err)
	leaver := m.Core[0]
	if !slices.ContainsFunc(first.Members, func(a string) bool { return strings.HasPrefix(a, leaver.IP+":") }) || len(first.Members) != 3 {
		t.Fatalf("members at first: %v", first.Members)
	}
	leaver.Kill() // and start it with time enough to leave on a machine whose disk is slow
	leaver.settings["bounds"] = []string{"graceS=30"}
	must(t, leaver.Start(false))
	must(t, Await(10*time.Second, "all have full copies", func() bool {
		s, err := status(m, leaver)
		return err == nil && s.FullyReplicated
	}))
	must(t, Await(10*time.Second, "a configuration is taken", func() bool {
		answered, err := leaver.Put(config(8))
		return err == nil && answered == http.StatusOK
	}))
	leaver.Signal(syscall.SIGTERM)
	select {
	case <-leaver.done:
	case <-time.After(30 * time.Second):
		t.Fatal("it has not ended within graceS")
	}
	if log := leaver.Log(); !strings.Contains(log, "shutdown completed in order") {
		t.Errorf("its log does not say that it left in order:\n%s", log)
	}
	must(t, Await(10*time.Second, "the stand-by is a member and all have full copies", func() bool {
		s, err := status(m, m.Core[1])
		return err == nil && s.FullyReplicated && len(s.Members) == 3 && len(s.PreviousMembers) == 0 &&
			!slices.ContainsFunc(s.Members, func(a string) bool { return strings.HasPrefix(a, leaver.IP+":") })
	}))
	m.Core[1].Kill() // the majority that is left has what was confirmed
	must(t, Await(10*time.Second, "the configuration is read back", func() bool {
		answered, body, err := m.Core[3].Read()
		return err == nil && answered == http.StatusOK && string(body) == string(config(8))
	}))
}
