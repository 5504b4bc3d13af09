package main

import (
	"bytes"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"firplank/mesh/register"
	"firplank/mesh/storage"
)

// Guards against an fsck that misreports or changes a data folder, or that misses a flipped bit in a log.
func TestFsckReportsContentAndDamage(t *testing.T) {
	folder := t.TempDir()
	store, _, err := storage.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	state := register.State{Promised: register.Ballot{Number: 4, Proposer: "a"}, Voter: true,
		Value: register.Value{Members: []string{"a", "b"}}}
	for range 2 {
		if err := store.Save(&state); err != nil {
			t.Fatal(err)
		}
	}
	store.RecordSynced()
	_ = store.Close()
	before := readFiles(t, folder)
	var out bytes.Buffer
	if err := (&fsckCommand{Folder: folder}).Run(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"format 2, generation 1", "after 2 saves", "promised 4 by a", "members [a b]"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
	if after := readFiles(t, folder); !maps.EqualFunc(before, after, bytes.Equal) {
		t.Error("the folder was changed")
	}
	logs, err := filepath.Glob(filepath.Join(folder, "register", "store-*", "*.log"))
	if err != nil || len(logs) != 1 {
		t.Fatalf("logs %v, %v", logs, err)
	}
	log := before[logs[0]]
	log[len(log)/2] ^= 1
	if err := os.WriteFile(logs[0], log, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := (&fsckCommand{Folder: folder}).Run(&out); err == nil {
		t.Error("a damaged log is not reported")
	}
}

// readFiles returns the content of each file below a folder, by path.
func readFiles(t *testing.T, folder string) map[string][]byte {
	all := map[string][]byte{}
	err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		all[path], err = os.ReadFile(path)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}
