package main

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against series that metrics names does not list, and against a changed types.db.
func TestMetricsCommands(t *testing.T) {
	t.Setenv("NODE_CONFIG", "../../internal/sidecar/testdata/config.json")
	var out bytes.Buffer
	if err := run([]string{"metrics", "names", "--config", "../../deploy/monitoring/monitoring.toml"}, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"firplank.n1.requests.read.served.total ", "firplank.n1.requests.pay.open ", "firplank.n1.tenants.read.overflow.asked.count ",
		"firplank.n1.latency.reserve.p99 ", "firplank.n1.servers.<server>.in_flight ", "firplank.n1.process.started ",
	} {
		if !strings.Contains(out.String(), "\n"+want) {
			t.Errorf("no line for %s", want)
		}
	}
	if !strings.Contains(out.String(), `class="read" tenant="overflow" `) {
		t.Error("no line has the labels of its series")
	}
	out.Reset()
	if err := run([]string{"metrics", "types"}, &out); err != nil || !strings.HasPrefix(out.String(), "firplank_requests ") {
		t.Errorf("%q, %v", out.String(), err)
	}
}
