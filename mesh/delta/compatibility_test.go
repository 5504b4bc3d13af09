package delta

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"
)

// configuration returns a text with an object for each route. Which routes differ from another version depends on version.
func configuration(version, routes int) []byte {
	var text bytes.Buffer
	for i := range routes {
		weight := 90
		if i%7 == version%7 {
			weight = 10 * version
		}
		if i%29 == version {
			continue
		}
		fmt.Fprintf(&text, `{"name":"route-%d","target":0.%d,"prefix":"/%x/","share":%d},`, i, i%9, uint32(i)*2654435761, weight)
	}
	return text.Bytes()
}

// pairs returns the pairs of a base and a text that testdata has deltas for.
func pairs() [][2][]byte {
	all := [][2][]byte{
		{nil, nil},
		{nil, []byte("text without a base")},
		{[]byte("base without a text"), nil},
		{configuration(1, 50), configuration(1, 50)},
		{bytes.Repeat([]byte("repeated "), 40), bytes.Repeat([]byte("repeated "), 41)},
	}
	for version := range 6 {
		all = append(all, [2][]byte{configuration(version, 120), configuration(version+1, 125)})
	}
	return all
}

// Deltas of earlier releases have to give the expected texts, and the same texts have to be encoded to the same bytes, because both
// releases run at the same time during an upgrade.
func TestDeltasOfEarlierReleasesAreCompatible(t *testing.T) {
	file, err := os.ReadFile("testdata/5126712/deltas.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(file)), "\n")
	if len(lines) != len(pairs()) {
		t.Fatalf("%d deltas of %d pairs", len(lines), len(pairs()))
	}
	for i, pair := range pairs() {
		_, digits, _ := strings.Cut(lines[i], " ")
		delta, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(err)
		}
		base, text := pair[0], pair[1]
		if got, err := Apply(base, delta, len(text)); err != nil || !bytes.Equal(got, text) {
			t.Errorf("pair %d: applying %q gives %q, %v", i, delta, got, err)
		}
		if got := Encode(base, text); !bytes.Equal(got, delta) {
			t.Errorf("pair %d: encoded to %x, by the earlier release to %x", i, got, delta)
		}
	}
}
