package balance

import (
	"os"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The files that deploy/balancer.toml lists as policy are read by every new engineer, so each of them, and all of them
// together, have to stay short.
func TestPolicyFilesStayShort(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Policy []string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	totalLines := 0
	for _, file := range deploy.Policy {
		text, err := os.ReadFile("../" + file)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > 110 {
				t.Errorf("%s: line %d is %d columns wide", file, i+1, width)
			}
		}
		if lines > 600 {
			t.Errorf("%s: %d lines, at most 600", file, lines)
		}
		totalLines += lines
	}
	if len(deploy.Policy) < 5 || totalLines > 1200 {
		t.Errorf("%d lines in %d policy files, at most 1,200 in 5 files or more", totalLines, len(deploy.Policy))
	}
}
