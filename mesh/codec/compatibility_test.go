package codec_test

import (
	"bytes"
	"encoding/hex"
	"os"
	"reflect"
	"strings"
	"testing"

	"firplank/mesh/codec"
	"firplank/mesh/directory"
	"firplank/mesh/register"
	"firplank/mesh/wire"
)

// readFrames reads a file of frames. Each line has a name and the frame's bytes in hexadecimal.
func readFrames(t *testing.T, file string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	frames := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		if frames[name], err = hex.DecodeString(digits); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	return frames
}

// Frames of earlier releases are decoded to the values that they were encoded from, and these values are encoded to the
// same bytes. During an upgrade, both releases run side by side.
func TestFramesOfEarlierReleases(t *testing.T) {
	frames := readFrames(t, "testdata/5126712/frames.txt")
	expected := fixtures()
	if len(expected) != len(frames) {
		t.Errorf("%d frames are expected, the file holds %d", len(expected), len(frames))
	}
	for _, f := range expected {
		t.Run(f.name, func(t *testing.T) {
			frame := frames[f.name]
			decoded, err := wire.ReadFrame(bytes.NewReader(frame))
			if err != nil {
				t.Fatal(err)
			}
			if encoded := wire.Encode(f.frame); !bytes.Equal(encoded, frame) {
				t.Errorf("encoded to\n%x, by the earlier release to\n%x", encoded, frame)
			}
			if normalizeEmpty(f.frame, decoded); !reflect.DeepEqual(f.frame, decoded) {
				t.Errorf("decoded to\n%+v, expected\n%+v", decoded, f.frame)
			}
		})
	}
}

// The messages of the mesh's packages are converted from frames of earlier releases with all their values.
func TestMessagesOfEarlierReleases(t *testing.T) {
	frames := readFrames(t, "testdata/5126712/frames.txt")
	read := func(name string) *wire.FrameT {
		frame, err := wire.ReadFrame(bytes.NewReader(frames[name]))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		return frame
	}
	for _, k := range registerKindNames {
		for name, want := range map[string]*register.Message{"full": fullMessage(k.kind), "zero": {Kind: k.kind}} {
			want.To = "" // not sent
			got, ok := codec.RegisterFromFrame(read("register/" + name + "/" + k.name))
			if normalizeEmpty(want, &got); !ok || !reflect.DeepEqual(*want, got) {
				t.Errorf("%s %s: %+v, expected %+v", name, k.name, got, *want)
			}
		}
	}
	update := read("news/full")
	checkEqual(t, "deltas", codec.DeltasFromFrame(update), fullUpdate().Deltas)
	checkEqual(t, "machines", codec.MachinesFromWire(update.Machines, fixtureNow), machines())
	checkEqual(t, "age", codec.AsOfFromFrame(update, fixtureNow), fullUpdate().AsOf)
	for _, name := range []string{"news/full", "join/full"} {
		var got []directory.Entry
		for _, e := range read(name).Entries {
			entry, complete := codec.EntryFromWire(e, fixtureNow)
			checkEqual(t, "entry is complete", complete, true)
			got = append(got, entry)
		}
		checkEqual(t, name, got, entries())
	}
	report := read("keep/alive")
	alive, complete := codec.EntryFromWire(report.Entries[0], fixtureNow)
	checkEqual(t, "entry is complete", complete, false)
	checkEqual(t, "node", alive.Node, entries()[0].Node)
	checkEqual(t, "last seen", alive.LastSeen, entries()[0].LastSeen)
	checkEqual(t, "report", codec.AckFromFrame(report), fullAck)
	status, ok := codec.NodeStatusFromFrame(read("hello/full"))
	checkEqual(t, "node status is present", ok, true)
	checkEqual(t, "node status", status, fullStatus)
}

func checkEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: %+v, expected %+v", what, got, want)
	}
}

// normalizeEmpty replaces empty lists and maps in values by nil, which frames do not distinguish.
func normalizeEmpty(values ...any) {
	for _, v := range values {
		setEmptyToNil(reflect.ValueOf(v))
	}
}

func setEmptyToNil(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			setEmptyToNil(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			setEmptyToNil(v.Field(i))
		}
	case reflect.Slice, reflect.Map:
		if v.Len() == 0 && v.CanSet() {
			v.SetZero()
		}
		if v.Kind() == reflect.Slice {
			for i := range v.Len() {
				setEmptyToNil(v.Index(i))
			}
		}
	}
}
