package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/go-faster/errors"
)

// maxTextBytes is the size limit passed to Apply.
const maxTextBytes = 1 << 20

// routeEntries returns n random route objects, in size and form like those of a configuration.
func routeEntries(r *rand.Rand, n int) (all [][]byte) {
	const route = `{"name":"r-%08x","routeKind":"safe","targetS":0.3,"sorting":{"lanePrefix":"/%x/"},` +
		`"dispatch":{"line":"huvo%da","deadlineS":1.2,"attempts":2}},`
	for i := range n {
		all = append(all, fmt.Appendf(nil, route, r.Uint32(), r.Uint32(), i%5))
	}
	return all
}

func TestDeltaGivesTheExactText(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	current := routeEntries(r, 300)
	for round := range 60 {
		next := append([][]byte(nil), current...)
		for range r.IntN(6) {
			i := r.IntN(len(next))
			switch r.IntN(3) {
			case 0:
				next = append(next[:i:i], next[i+1:]...)
			case 1:
				next = append(next[:i:i], append(routeEntries(r, 1), next[i:]...)...)
			default:
				next[i] = bytes.Replace(next[i], []byte("1.2"), []byte("0.75"), 1)
			}
		}
		base, text := bytes.Join(current, nil), bytes.Join(next, nil)
		encoded := Encode(base, text)
		got, err := Apply(base, encoded, maxTextBytes)
		if err != nil || !bytes.Equal(got, text) {
			t.Fatalf("round %d: %v", round, err)
		}
		if len(encoded) > 1500 {
			t.Errorf("round %d: a change of a few routes takes a delta of %d bytes for a text of %d", round, len(encoded), len(text))
		}
		current = next
	}
}

func TestMalformedDeltaIsRejected(t *testing.T) {
	base := []byte("one text that is long enough to be found again")
	text := []byte("one text that is long enough to be found again, and more")
	encoded := Encode(base, text)
	if _, err := Apply(text, encoded, maxTextBytes); !errors.Is(err, ErrWrongBase) {
		t.Errorf("applied to another base: %v", err)
	}
	if _, err := Apply(base, encoded, len(text)-1); !errors.Is(err, ErrMalformed) {
		t.Errorf("applied above the size limit: %v", err)
	}
	for i := range encoded {
		corrupted := bytes.Clone(encoded)
		corrupted[i] ^= 0x41
		if got, err := Apply(base, corrupted, maxTextBytes); err == nil && !bytes.Equal(got, text) {
			t.Errorf("applied with byte %d corrupted: %q", i, got)
		}
		if _, err := Apply(base, encoded[:i], maxTextBytes); err == nil {
			t.Errorf("applied although truncated after %d bytes", i)
		}
	}
}

func FuzzApply(f *testing.F) {
	base := []byte("a base of some length, which is copied from in parts")
	f.Add(base, Encode(base, append([]byte("x"), base...)))
	f.Add([]byte(nil), Encode(nil, base))
	f.Fuzz(func(t *testing.T, base, data []byte) {
		if text, err := Apply(base, data, maxTextBytes); err == nil && len(text) > maxTextBytes {
			t.Error("above the size limit")
		}
		d := Encode(base, data)
		if got, err := Apply(base, d, len(data)); err != nil || !bytes.Equal(got, data) {
			t.Errorf("%v", err)
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 2))
	all := routeEntries(r, 600)
	base := bytes.Join(all, nil)
	all = append(all[:200:200], all[201:]...)
	text := bytes.Join(all, nil)
	for b.Loop() {
		Encode(base, text)
	}
	b.ReportMetric(float64(len(Encode(base, text))), "bytes/delta")
	b.ReportMetric(float64(len(text)), "bytes/text")
}
