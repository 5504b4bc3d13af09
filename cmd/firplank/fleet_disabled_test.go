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

// talkConfig writes a configuration with peers, that the settings allow to be talked to or not, and returns its path.
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

// datagramSockets counts those that a process holds.
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

// What sidecars tell one another is off in what the platform runs, whatever the settings allow: exactly that is started here, and holds no
// socket for datagrams. With the options file it does, so that the look would see one.
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
		log := &testbed.Log{}
		cmd := exec.Command("/bin/sh", "-c", c.run)
		cmd.Dir, cmd.Stderr = root, log
		cmd.Env = append(os.Environ(), "NODE_CONFIG="+writePeerConfig(t, c.mayTell), "TMPDIR="+t.TempDir())
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		testbed.Until(t, "the sidecar listens", func() bool { return log.Has("msg=listening") })
		time.Sleep(300 * time.Millisecond) // what began late would have begun
		if got := countDatagramSockets(t, cmd.Process.Pid); got != c.want {
			t.Errorf("%s, may_tell %v: %d sockets for datagrams, want %d", c.run, c.mayTell, got, c.want)
		}
		_ = cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("%s: %v", c.run, err)
		}
	}
}

// Where the settings forbid it, or the configuration lacks what it needs, check names the key and nothing starts.
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
