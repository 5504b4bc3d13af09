package main

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"io"
	"os"
	"testing"
)

func readGzip(t *testing.T, path string) []byte {
	t.Helper()
	packed, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		t.Fatal(err)
	}
	all, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// TestRepliesEqualRecordedOnes guards against a change of the decisions or of their encoding. The recorded frames were made by
// testdata/generator.go.txt at commit 5126712, for five instances with different settings, of which one is killed and restarted and
// one has invalid settings. The replies must equal the recorded ones byte for byte.
func TestRepliesEqualRecordedOnes(t *testing.T) {
	in, want := readGzip(t, "testdata/wire-5126712.in.gz"), readGzip(t, "testdata/wire-5126712.out.gz")
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := out.Bytes()
	frames := 0
	for offset := 0; offset+4 <= len(want); frames++ {
		size := int(binary.BigEndian.Uint32(want[offset:]))
		if end := min(offset+size, len(got)); !bytes.Equal(got[min(offset, len(got)):end], want[offset:offset+size]) {
			t.Fatalf("reply %d at byte %d:\ngot  %x\nwant %x", frames, offset, got[min(offset, len(got)):end], want[offset:offset+size])
		}
		offset += size
	}
	if len(got) != len(want) || frames < 4000 {
		t.Fatalf("%d bytes of replies, want %d; %d frames, want 4000 or more", len(got), len(want), frames)
	}
}
