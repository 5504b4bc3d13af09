package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"firplank/internal/testbed"
)

// writePeerConfig writes a configuration with two peers and returns its path. peersAllowed is the setting limits.may_tell.
func writePeerConfig(t *testing.T, peersAllowed bool) string {
	t.Helper()
	text, err := os.ReadFile("../../internal/sidecar/testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		t.Fatal(err)
	}
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peerAddr := conn.LocalAddr().String()
	_ = conn.Close()
	settings := document["settings"].(map[string]any)
	settings["limits"].(map[string]any)["may_tell"] = peersAllowed
	settings["my_number"], settings["peers_total"] = 0, 2
	document["listen"], document["peer_listen"], document["peers"] = "127.0.0.1:0", peerAddr, []string{peerAddr, "127.0.0.1:9"}
	text, err = json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// countDatagramSockets returns the number of open UDP and UDP-Lite sockets of a process.
func countDatagramSockets(t *testing.T, pid int) (n int) {
	t.Helper()
	var tables string
	for _, name := range []string{"udp", "udp6", "udplite", "unix"} {
		text, _ := os.ReadFile("/proc/self/net/" + name)
		if name != "unix" {
			tables += string(text)
		}
	}
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, link := range links {
		to, _ := os.Readlink(link)
		if inode, ok := strings.CutPrefix(to, "socket:["); ok && strings.Contains(tables, " "+strings.TrimSuffix(inode, "]")+" ") {
			n++
		}
	}
	return n
}

// Guards against a deployed sidecar that sends load reports to peers: with the run command of the deploy file it must open no datagram
// socket, whatever the settings allow. The last case enables the reports, to show that an open socket would be found.
func TestDeployedSidecarOpensNoDatagramSocket(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	root := t.TempDir()
	goTool(t, "build", "-o", filepath.Join(root, "bin", "firplank"), ".")
	options, err := filepath.Abs("../../deploy/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		run     string
		mayTell bool
		want    int
	}{{deploy.Run, false, 0}, {deploy.Run, true, 0}, {deploy.Run + " serve --config " + options, true, 1}} {
		log := &testbed.LogBuffer{}
		cmd := exec.Command("/bin/sh", "-c", c.run)
		cmd.Dir, cmd.Stderr = root, log
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+writePeerConfig(t, c.mayTell), "TMPDIR="+t.TempDir())
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		testbed.Until(t, "the sidecar listens", func() bool { return log.Contains("msg=listening") })
		time.Sleep(300 * time.Millisecond) // allows a socket that is opened after the listener to show up
		if got := countDatagramSockets(t, cmd.Process.Pid); got != c.want {
			t.Errorf("%s, may_tell %v: %d datagram sockets, want %d", c.run, c.mayTell, got, c.want)
		}
		_ = cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("%s: %v", c.run, err)
		}
	}
}

// If the settings forbid fleet reports, or the configuration lacks a value that they need, check and serve must fail with an error that
// names the key.
func TestFleetConfigErrorNamesTheKey(t *testing.T) {
	t.Setenv("NODE_CONFIG", writePeerConfig(t, false))
	var out bytes.Buffer
	for _, command := range []string{"check", "serve"} {
		if err := run([]string{command, "--config", "../../deploy/fleet.toml"}, &out); err == nil ||
			!strings.Contains(err.Error(), "limits.may_tell") {
			t.Errorf("%s: %v", command, err)
		}
	}
	for key, change := range map[string]func(map[string]any){
		"peer_listen": func(m map[string]any) { delete(m, "peer_listen") },
		"peers":       func(m map[string]any) { delete(m, "peers") },
		"number 1":    func(m map[string]any) { m["peers"] = []string{"127.0.0.1:7", "nowhere"} },
	} {
		path := writePeerConfig(t, true)
		text, _ := os.ReadFile(path)
		var all map[string]any
		if err := json.Unmarshal(text, &all); err != nil {
			t.Fatal(err)
		}
		change(all)
		text, _ = json.Marshal(all)
		_ = os.WriteFile(path, text, 0o600)
		t.Setenv("NODE_CONFIG", path)
		if err := run([]string{"check", "--config", "../../deploy/fleet.toml"}, &out); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
}
