package balance_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"testing"

	"firplank/balance"
)

// TestDecisionsMatchRecording replays the events that testdata/generator.go.txt recorded with commit 5126712: nine runs
// with servers that start, stop, slow down and fail, six with settings of the simulator's profiles, three with those of
// the mesh. Every action of every step must equal the recorded one, bit for bit. A commit that changes a decision on
// purpose makes a new recording and states the change; one that only renames or moves code leaves the recording alone.
func TestDecisionsMatchRecording(t *testing.T) {
	c := &coder{in: bytes.NewReader(decompress(t, "testdata/decisions-5126712.bin.gz"))}
	kinds := map[balance.ActionKind]int{}
	runs, steps := 0, 0
	for ; c.in.Len() > 0; runs++ {
		steps += replay(t, c, runs, kinds)
	}
	t.Logf("%d runs, %d steps, actions by kind: %v", runs, steps, kinds)
	if runs != 9 || steps < 32000 {
		t.Errorf("%d runs with %d steps, want 9 with 32,000 or more", runs, steps)
	}
	for _, k := range []balance.ActionKind{
		balance.Send, balance.Refuse, balance.Fail, balance.Cancel, balance.SetTimer, balance.Probe, balance.Subscribe,
	} {
		if kinds[k] == 0 {
			t.Errorf("the recording has no action of kind %d", k)
		}
	}
}

func decompress(t *testing.T, path string) []byte {
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

// replay replays one run and returns the number of its steps.
func replay(t *testing.T, c *coder, run int, kinds map[balance.ActionKind]int) int {
	t.Helper()
	var cfg balance.Config
	var budget bool
	var steps int
	c.config(&cfg)
	c.bool(&budget)
	c.int(&steps)
	if budget {
		cfg.RetryBudget = &recordedRetryBudget{}
	}
	b := balance.New(cfg)
	for n := range steps {
		var st step
		var want []balance.Action
		c.step(&st)
		c.actions(&want)
		if c.err != nil {
			t.Fatalf("run %d, step %d: read recording: %v", run, n, c.err)
		}
		got, err := performStep(b, &st)
		if err != nil {
			t.Fatalf("run %d, step %d, %T: %v", run, n, st.event, err)
		}
		if !bytes.Equal(encode(got), encode(want)) {
			t.Fatalf("run %d, step %d at %v ms, %T %+v:\ngot  %+v\nwant %+v", run, n, st.now, st.event, st.event, got, want)
		}
		for _, a := range got {
			kinds[a.Kind]++
		}
	}
	return steps
}

func performStep(b *balance.Balancer, st *step) ([]balance.Action, error) {
	switch {
	case st.kind == stepStart:
		return b.Start(st.now), nil
	case st.kind == stepAddClass:
		b.AddClass(st.class)
		return nil, nil
	case st.event == nil:
		return nil, fmt.Errorf("unknown step %d", st.kind)
	}
	return b.Handle(st.now, st.event)
}

func encode(acts []balance.Action) []byte {
	var c coder
	c.actions(&acts)
	return c.out.Bytes()
}
