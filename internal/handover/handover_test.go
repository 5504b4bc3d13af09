package handover

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"firplank/internal/testbed"
)

func join(t *testing.T, dir string) *Instance {
	t.Helper()
	p, err := Join(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Leave)
	return p
}

func TestPeersReportsLiveProcesses(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "shared")
	one := join(t, dir)
	if got := one.Peers(); got != (Peers{}) {
		t.Errorf("without other processes: %+v", got)
	}
	two := join(t, dir)
	if got := one.Peers(); !got.Younger || got.ReadyYounger || got.Older {
		t.Errorf("before the second is ready: %+v", got)
	}
	if err := two.MarkReady(); err != nil {
		t.Fatal(err)
	}
	two.PublishUsage(Usage{Clients: 7, Servers: 5, Draining: true})
	if got := one.Peers(); !got.ReadyYounger || got.Usage != (Usage{7, 5, true}) {
		t.Errorf("when the second is ready: %+v", got)
	}
	if got := two.Peers(); !got.Older || got.Younger || got.ReadyYounger {
		t.Errorf("peers of the second: %+v", got)
	}
	// A killed process leaves its file; the kernel releases the lock.
	_ = two.lockFile.Close()
	two.lockFile = nil
	if got := one.Peers(); got != (Peers{}) {
		t.Errorf("after the second was killed: %+v", got)
	}
	if three := join(t, dir); three.number <= two.number {
		t.Errorf("the third is number %d, after %d", three.number, two.number)
	}
}

// Manual ejections apply to the other processes and to later ones. A rejected update changes nothing.
func TestEjectedServersOutliveProcesses(t *testing.T) {
	dir := t.TempDir()
	one, two := join(t, dir), join(t, dir)
	before := one.EjectedVersion()
	at := time.Now().Truncate(time.Second)
	if _, err := two.UpdateEjected(func(o Ejected) error { o["s-1"] = at; return nil }); err != nil {
		t.Fatal(err)
	}
	if one.EjectedVersion() == before {
		t.Error("the version has not changed for the first process")
	}
	rejection := errors.New("no")
	if _, err := one.UpdateEjected(func(o Ejected) error { o["s-2"] = at; return rejection }); !errors.Is(err, rejection) {
		t.Errorf("rejected update: %v", err)
	}
	if _, err := one.UpdateEjected(func(o Ejected) error {
		for i := range MaxEjected + 1 {
			o[string(rune('a'+i))] = at
		}
		return nil
	}); err == nil {
		t.Error("more than MaxEjected servers were accepted")
	}
	one.Leave()
	two.Leave()
	if got, err := join(t, dir).Ejected(); err != nil || len(got) != 1 || !got["s-1"].Equal(at) {
		t.Errorf("read by a later process: %v, %v", got, err)
	}
}

func TestUpdateEjectedRejectsDamagedFile(t *testing.T) {
	dir := t.TempDir()
	p := join(t, dir)
	for name, text := range map[string]string{"cut": `{"s-1":"2026-`, "long": string(make([]byte, maxEjectedFileSize+1))} {
		if err := os.WriteFile(filepath.Join(dir, ejectedFileName), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := p.UpdateEjected(func(Ejected) error { return nil }); err == nil {
			t.Errorf("%s: the damaged file was read as empty", name)
		}
	}
}

// A connection that is pending when the old process closes its listener is accepted by the new process.
func TestInheritedListenerAcceptsPendingConnection(t *testing.T) {
	dir := t.TempDir()
	one := join(t, dir)
	ln := testbed.Listen(t)
	if err := one.ServeListeners(map[string]net.Listener{"http": ln}); err != nil {
		t.Fatal(err)
	}
	two := join(t, dir)
	got, err := two.InheritListeners()
	if err != nil || got["http"] == nil {
		t.Fatalf("%v, %v", got, err)
	}
	inherited := got["http"]
	defer func() { _ = inherited.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "hello")
	_ = ln.Close()
	one.Leave()
	conn, err := got["http"].Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	text := make([]byte, 5)
	if _, err := io.ReadFull(conn, text); err != nil || string(text) != "hello" {
		t.Errorf("%q, %v", text, err)
	}
	if _, err := join(t, dir).InheritListeners(); err == nil {
		t.Error("received listeners of a process that serves none")
	}
}
