package storage

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"firplank/mesh/configversion"
	"firplank/mesh/register"
)

// memberChangeState returns a replica's state during a change of members, with a promise above the accepted ballot.
func memberChangeState(version uint32) *register.State {
	return &register.State{
		Promised: register.Ballot{Number: uint64(version) + 5, Proposer: "10.3.0.12:7620"},
		Accepted: register.Ballot{Number: uint64(version), Proposer: "10.2.0.11:7620"},
		Value: register.Value{
			Version:      configversion.Of(version),
			Body:         bytes.Repeat(fmt.Appendf(nil, `{"edition":%d}`, version), 100),
			Members:      []string{"10.1.0.13:7620", "10.2.0.11:7620", "10.3.0.12:7620"},
			PriorMembers: []string{"10.1.0.13:7620", "10.2.0.11:7620", "10.3.0.11:7620"},
			History: register.History{
				Floor: configversion.Of(version - 2),
				Records: []register.Record{
					{Version: configversion.Of(version - 1), Content: register.ContentOf([]byte("before"))},
					{Version: configversion.Of(version), Content: register.ContentOf([]byte("content"))},
				},
			},
		},
		Incarnations:     map[string]uint32{"10.2.0.11:7620": 3, "10.3.0.11:7620": 7, "10.3.0.12:7620": 1},
		IncarnationFloor: 4,
		Incarnation:      2,
		Voter:            true,
	}
}

// memberChangeStateWithPromise is memberChangeState with another promised ballot.
func memberChangeStateWithPromise(version uint32, number uint64) *register.State {
	s := memberChangeState(version)
	s.Promised.Number = number
	return s
}

// format1State is memberChangeState as stored in format 1, which had no floor of incarnations.
func format1State(version uint32) *register.State {
	s := memberChangeState(version)
	s.IncarnationFloor = 0
	return s
}

// Data folders of earlier releases are read with all their values, and can be opened, written to and read again.
func TestStoresOfEarlierReleases(t *testing.T) {
	for _, c := range []struct {
		folder    string
		want      Contents
		recovered Recovered
	}{
		{
			folder:    "5126712/members",
			want:      Contents{State: memberChangeStateWithPromise(12, 99), Generation: 2, Sequence: 4},
			recovered: Recovered{State: memberChangeStateWithPromise(12, 99), EarlierIncarnation: true},
		},
		{
			folder:    "5126712/first",
			want:      Contents{State: &register.State{Voter: true, Incarnation: 1}, Generation: 1, Sequence: 1},
			recovered: Recovered{State: &register.State{Voter: true, Incarnation: 1}},
		},
		{folder: "5126712/started"},
		{
			folder:    "704ec76/format1",
			want:      Contents{State: format1State(11)},
			recovered: Recovered{State: format1State(11), EarlierIncarnation: true},
		},
	} {
		t.Run(c.folder, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "data")
			if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", c.folder))); err != nil {
				t.Fatal(err)
			}
			contents, err := Read(dir)
			if dropEmpty(contents.State); err != nil || !reflect.DeepEqual(contents, c.want) {
				t.Errorf("read %+v of %+v, %v; expected %+v", contents, contents.State, err, c.want)
			}
			store, recovered, err := Open(dir)
			if err != nil {
				t.Fatal(err)
			}
			if dropEmpty(recovered.State); !reflect.DeepEqual(recovered, c.recovered) {
				t.Errorf("recovered %+v, expected %+v", recovered, c.recovered)
			}
			checkFurtherSaves(t, store, dir, c.want)
		})
	}
}

// checkFurtherSaves saves states to an opened store, and checks that they are read and recovered.
func checkFurtherSaves(t *testing.T, store *Store, dir string, before Contents) {
	t.Helper()
	for version := uint32(20); version < 23; version++ {
		if err := store.Save(memberChangeState(version)); err != nil {
			t.Fatal(err)
		}
		store.RecordSynced()
	}
	if err := store.MarkActive(); err != nil {
		t.Fatal(err)
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	contents, err := Read(dir)
	want := Contents{State: memberChangeState(22), Generation: before.Generation + 1, Sequence: before.Sequence + 3}
	if err != nil || !reflect.DeepEqual(contents, want) {
		t.Errorf("read %+v of %+v after further saves, %v; expected %+v", contents, contents.State, err, want)
	}
	reopened, recovered, err := Open(dir)
	if err != nil || !reflect.DeepEqual(recovered, Recovered{State: memberChangeState(22), EarlierIncarnation: true}) {
		t.Errorf("recovered %+v after further saves, %v", recovered, err)
	}
	if err := reopened.Close(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(filepath.Join(dir, format1Name)); err == nil {
		t.Error("the store of format 1 was not removed")
	}
}

// dropEmpty replaces empty lists and maps by nil, which are not distinguished on disk.
func dropEmpty(s *register.State) {
	if s == nil {
		return
	}
	if len(s.Incarnations) == 0 {
		s.Incarnations = nil
	}
	v := &s.Value
	if len(v.Body) == 0 {
		v.Body = nil
	}
	if len(v.Members) == 0 {
		v.Members = nil
	}
	if len(v.PriorMembers) == 0 {
		v.PriorMembers = nil
	}
}
