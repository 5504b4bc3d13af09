package options

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestNoFileIsAllOff(t *testing.T) {
	f, err := Load("")
	if err != nil || f.LoadShedding.Enabled || f.MsgpackRPC.Enabled() || f.Broker.ContractsDir != "" || f.Operators.Listen != "" {
		t.Errorf("%+v, %v", f, err)
	}
}

// The platform's own file must leave all new features off.
func TestPlatformFileIsAllOff(t *testing.T) {
	f, err := Load("../../deploy/firplank.toml")
	if err != nil || f.LoadShedding.Enabled || f.MsgpackRPC.Enabled() || f.Broker.ContractsDir != "" || f.Operators.Listen != "" {
		t.Errorf("%+v, %v", f, err)
	}
}

func TestInvalidFilesAreErrors(t *testing.T) {
	dir := t.TempDir()
	for text, want := range map[string]string{
		"[door]\nshut = true\n":          "o.toml:2: unknown key door.shut",
		"\n[gate]\n":                     "o.toml:2: unknown key gate",
		"[door]\nenabled = \"yes\"\n":    "o.toml:2: ",
		"[door]\nenabled = true\nx\n":    "o.toml:3: ",
		"[door]\nenabled = true\n[door]": "o.toml",

		"[msgpack_rpc]\nlisten = \"here\"\n":                   "o.toml: msgpack_rpc.listen",
		"[msgpack_rpc]\nlisten = \"127.0.0.1:0\"\n":            "no msgpack_rpc.method",
		"[msgpack_rpc]\nmax_open = -1\n":                       "o.toml: msgpack_rpc.max_open",
		"[msgpack_rpc]\nmax_frame_bytes = 99999999999\n":       "o.toml: msgpack_rpc.max_frame_bytes",
		"[graphite]\naddress = \"here\"\n":                     "graphite: address \"here\"",
		"[graphite]\ninterval_s = 0.5\n":                       "graphite.interval_s is 0.5",
		"[graphite]\nprotocol = \"json\"\n":                    "graphite.protocol is \"json\"",
		"[graphite]\nprefix = \"a b\"\n":                       "graphite.prefix is \"a b\"",
		"[graphite]\nspool_bytes = 10\n":                       "graphite.spool_bytes is 10",
		"[collectd]\nbacklog_per_s = -1\n":                     "collectd.backlog_per_s is -1",
		"[collectd]\nsecurity = \"some\"\n":                    "collectd.security is \"some\"",
		"[collectd]\nsecurity = \"sign\"\nnetwork = \"h:1\"\n": "username and password_file are wanted",
		"[collectd]\nhost = \"a/b\"\n":                         "collectd.host is \"a/b\"",
		"[collectd]\nlate = \"never\"\n":                       "collectd.late is \"never\"",
		"[reporting]\npairs = -1\n":                            "reporting.pairs is -1",
		"[broker]\npart = 2\n":                                 "o.toml: broker: capacity_per_s is 0 and part 2",
		"[operators]\nlisten = \"0.0.0.0:80\"\n":               "operators.listen: 0.0.0.0:80 is not a loopback address",
		"[operators]\nlisten = \"localhost\"\n":                "operators.listen: ",
		"[[msgpack_rpc.method]]\nname = \"a\"\nkind = 1\n":     "o.toml:3: unknown key msgpack_rpc.method.kind",
	} {
		path := filepath.Join(dir, "o.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one with %q", text, err, want)
		}
	}
	if _, err := Load(filepath.Join(dir, "none.toml")); err == nil {
		t.Error("no error for a missing file")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[door]\nenabled = true\n"))
	f.Add([]byte("[door]\nenabled = 1\n"))
	f.Add([]byte("door.enabled = false\n[door]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		o, err := Parse("fuzz.toml", text)
		if (o == nil) == (err == nil) {
			t.Fatalf("%v, %v", o, err)
		}
	})
}
