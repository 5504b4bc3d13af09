package msgpackrpc

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// pack encodes a value with another library.
func pack(t testing.TB, v any) []byte {
	t.Helper()
	b, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func unhex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// readAll reads frames until an error, and copies their contents.
func readAll(src io.Reader, limits Limits) (frames []Frame, err error) {
	r := NewReader(src, limits)
	for {
		f, err := r.Next()
		if err != nil {
			return frames, err
		}
		f.Method, f.Params, f.Error, f.Result = bytes.Clone(f.Method), bytes.Clone(f.Params), bytes.Clone(f.Error), bytes.Clone(f.Result)
		frames = append(frames, f)
	}
}

func TestFramesOfTheSpecification(t *testing.T) {
	stream := pack(t, []any{0, 7, "plate.lookup", []any{"あ 12-34", 3.5, nil}})
	stream = append(stream, pack(t, []any{1, 7, nil, map[string]any{"free": true}})...)
	stream = append(stream, pack(t, []any{1, uint32(math.MaxUint32), "no such plate", nil})...)
	stream = append(stream, pack(t, []any{2, "log", []any{}})...)
	frames, err := readAll(bytes.NewReader(stream), Limits{})
	if !errors.Is(err, io.EOF) || len(frames) != 4 {
		t.Fatalf("%d frames, %v", len(frames), err)
	}
	if f := frames[0]; f.Kind != Request || f.ID != 7 || string(f.Method) != "plate.lookup" ||
		!bytes.Equal(f.Params, pack(t, []any{"あ 12-34", 3.5, nil})) {
		t.Errorf("request %+v", f)
	}
	if f := frames[1]; f.Kind != Response || f.Failed() || !bytes.Equal(f.Result, pack(t, map[string]any{"free": true})) {
		t.Errorf("response %+v", f)
	}
	if f := frames[2]; f.ID != math.MaxUint32 || !f.Failed() || !bytes.Equal(f.Error, pack(t, "no such plate")) {
		t.Errorf("response with an error %+v", f)
	}
	if f := frames[3]; f.Kind != Notification || string(f.Method) != "log" || len(f.Params) != 1 {
		t.Errorf("notification %+v", f)
	}
}

// Frames may arrive in any fragments: several at once, byte by byte, and with the end of the stream in the last read.
func TestFragmentedFrames(t *testing.T) {
	var stream []byte
	for id := range uint32(20) {
		stream = AppendRequest(stream, id*id*1000, strings.Repeat("m", int(id)), pack(t, []any{id, strings.Repeat("x", int(id)*40)}))
	}
	whole, _ := readAll(bytes.NewReader(stream), Limits{})
	for name, from := range map[string]io.Reader{
		"one byte": iotest.OneByteReader(bytes.NewReader(stream)), "half": iotest.HalfReader(bytes.NewReader(stream)),
		"end with data": iotest.DataErrReader(bytes.NewReader(stream)),
	} {
		frames, err := readAll(from, Limits{})
		if !errors.Is(err, io.EOF) || len(frames) != 20 {
			t.Fatalf("%s: %d frames, %v", name, len(frames), err)
		}
		for i := range frames {
			if frames[i].ID != whole[i].ID || string(frames[i].Method) != string(whole[i].Method) ||
				!bytes.Equal(frames[i].Params, whole[i].Params) {
				t.Errorf("%s: frame %d is %+v", name, i, frames[i])
			}
		}
	}
}

// repeatReader returns the same byte forever and counts the bytes.
type repeatReader struct {
	b byte
	n int
}

func (e *repeatReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.b
	}
	e.n += len(p)
	return len(p), nil
}

// Malformed frames and the errors they cause.
func TestMalformedFrames(t *testing.T) {
	for name, c := range map[string]struct {
		hex  string
		want error
	}{
		"a string of 4 GiB":          {"94 00 01 db ffffffff", ErrTooLong},
		"an array of 4 G values":     {"94 00 01 a1 61 dd ffffffff", ErrTooLong},
		"a map of 4 G pairs":         {"94 00 01 a1 61 91 df ffffffff", ErrTooLong},
		"an ext of 4 GiB":            {"94 00 01 a1 61 91 c9 ffffffff 01", ErrTooLong},
		"beyond the limit":           {"94 00 01 a1 61 91 c5 ffff", ErrTooLong},
		"number only":                {"07", ErrMalformed},
		"HTTP":                       {"47 45 54 20 2f", ErrHTTP},
		"an empty array":             {"90", ErrMalformed},
		"an array of five":           {"95 00 01 a1 61 90 c0", ErrMalformed},
		"type 3":                     {"94 03 01 a1 61 90", ErrMalformed},
		"a type that is a string":    {"94 a1 30 01 a1 61 90", ErrMalformed},
		"a request of three":         {"93 00 01 a1 61", ErrMalformed},
		"a notification of four":     {"94 02 a1 61 90 c0", ErrMalformed},
		"an id of 2^32":              {"94 00 cf 0000000100000000 a1 61 90", ErrMalformed},
		"an id below 0":              {"94 00 ff a1 61 90", ErrMalformed},
		"an id below 0 in 64 bits":   {"94 00 d3 8000000000000000 a1 61 90", ErrMalformed},
		"an id that is a float":      {"94 00 ca 3f800000 a1 61 90", ErrMalformed},
		"a method that is a number":  {"94 00 01 05 90", ErrMalformed},
		"a method that is not UTF-8": {"94 00 01 a1 ff 90", ErrMalformed},
		"params that are a map":      {"94 00 01 a1 61 80", ErrMalformed},
		"params that are nil":        {"94 00 01 a1 61 c0", ErrMalformed},
		"the reserved code":          {"94 00 01 a1 61 91 c1", ErrMalformed},
		"truncated string":           {"94 00 01 a5 61 62", io.ErrUnexpectedEOF},
		"truncated after type":       {"94 00", io.ErrUnexpectedEOF},
		"truncated array header":     {"dc 00", io.ErrUnexpectedEOF},
	} {
		frames, err := readAll(bytes.NewReader(unhex(t, c.hex)), Limits{})
		if !errors.Is(err, c.want) || len(frames) > 0 {
			t.Errorf("%s: %d frames, error %v, want %v", name, len(frames), err, c.want)
		}
	}
	long := AppendRequest(nil, 1, strings.Repeat("m", 257), []byte{0x90})
	if _, err := readAll(bytes.NewReader(long), Limits{}); !errors.Is(err, ErrMalformed) {
		t.Errorf("a method of 257 bytes: %v", err)
	}
}

// Deeply nested arrays fail at the depth limit, and cause neither recursion nor memory in proportion to them.
func TestNestingLimit(t *testing.T) {
	deep := append(unhex(t, "94 00 01 a1 61"), bytes.Repeat([]byte{0x91}, 100000)...)
	if _, err := readAll(bytes.NewReader(deep), Limits{Frame: 1 << 20}); !errors.Is(err, ErrTooDeep) {
		t.Errorf("error %v", err)
	}
	fits := append(append(unhex(t, "94 00 01 a1 61"), bytes.Repeat([]byte{0x91}, 30)...), 0x90)
	if frames, err := readAll(bytes.NewReader(fits), Limits{}); len(frames) != 1 || !errors.Is(err, io.EOF) {
		t.Errorf("within the limit: %d frames, %v", len(frames), err)
	}
}

// A frame whose announced length is at the limit uses no more memory than the bytes received.
func TestMemoryBoundedByReceivedBytes(t *testing.T) {
	r := NewReader(bytes.NewReader(unhex(t, "94 00 01 a1 61 91 c6 000fff00")), Limits{Frame: 1 << 20})
	if _, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal(err)
	}
	if cap(r.buf) > initialBufferBytes {
		t.Errorf("%d bytes are allocated for 11", cap(r.buf))
	}
	e := &repeatReader{b: 0x91}
	if _, err := NewReader(e, Limits{}).Next(); err == nil || e.n > 4096 {
		t.Errorf("%d bytes were read of an endless stream, error %v", e.n, err)
	}
}

// Errors are final, because the frame boundaries are lost.
func TestErrorIsFinal(t *testing.T) {
	stream := append([]byte{0x07}, AppendNotification(nil, "a", []byte{0x90})...)
	r := NewReader(bytes.NewReader(stream), Limits{})
	for range 2 {
		if _, err := r.Next(); !errors.Is(err, ErrMalformed) {
			t.Errorf("error %v", err)
		}
	}
}

// Frames that were written are read unchanged: any id, and params byte for byte, including repeated keys, NaN and ext
// types.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := rapid.SampledFrom([][]byte{
			{0x90}, {0x91, 0xcb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 1}, {0x91, 0xc7, 2, 0x55, 1, 2}, {0x91, 0xd6, 0xff, 1, 2, 3, 4},
			{0x91, 0x82, 0xa1, 'k', 1, 0xa1, 'k', 2}, {0xdc, 0, 1, 0xc0},
		}).Draw(t, "params")
		id := rapid.Uint32().Draw(t, "id")
		method := rapid.StringN(0, 50, 200).Draw(t, "method")
		if !strings.ContainsRune(method, '\uFFFD') {
			stream := AppendRequest(nil, id, method, params)
			stream = AppendResponse(stream, id, nil, params)
			stream = AppendResponse(stream, id, params, nil)
			stream = AppendNotification(stream, method, params)
			frames, err := readAll(bytes.NewReader(stream), Limits{})
			if !errors.Is(err, io.EOF) || len(frames) != 4 {
				t.Fatalf("%d frames, %v", len(frames), err)
			}
			a, b, c, d := frames[0], frames[1], frames[2], frames[3]
			if a.ID != id || string(a.Method) != method || !bytes.Equal(a.Params, params) || b.ID != id || b.Failed() ||
				!bytes.Equal(b.Result, params) || !c.Failed() || !bytes.Equal(c.Error, params) || string(d.Method) != method {
				t.Fatalf("%+v", frames)
			}
		}
	})
}

// A body used as params or result has to be one complete value, or the frame around it would be malformed.
func TestCheckValue(t *testing.T) {
	for text, want := range map[string][2]bool{ // as value, as params
		"92 01 a1 61": {true, true}, "90": {true, true}, "80": {true, false}, "c0": {true, false}, "a1 61": {true, false},
		"": {}, "91": {}, "90 90": {}, "c1": {}, "dd ffffffff": {},
	} {
		b := unhex(t, text)
		if got := [2]bool{CheckValue(b, Limits{}) == nil, CheckParams(b, Limits{}) == nil}; got != want {
			t.Errorf("% x: %v, want %v", b, got, want)
		}
	}
}

// For any input, the reader doesn't panic, returns no frame beyond the limits, and each value is complete MessagePack
// for another library.
func FuzzReader(f *testing.F) {
	for _, v := range []any{
		[]any{0, 7, "m", []any{1, "two", map[string]any{"three": []byte{4}}}}, []any{1, 1 << 31, nil, 3.5},
		[]any{2, "m", []any{nil, true, -1, -40000, 1 << 40}},
	} {
		f.Add(pack(f, v))
	}
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(unhex(f, "94 00 01 a1 61 91 c9 ffffffff 01"))
	f.Add(bytes.Repeat([]byte{0x91}, 100))
	f.Fuzz(func(t *testing.T, in []byte) {
		limits := Limits{Frame: 300, Depth: 8}
		frames, err := readAll(bytes.NewReader(in), limits)
		if err == nil {
			t.Fatal("no error at the end")
		}
		pieces, err2 := readAll(iotest.OneByteReader(bytes.NewReader(in)), limits)
		if len(pieces) != len(frames) || err.Error() != err2.Error() {
			t.Fatalf("%d frames and %v, bytewise %d and %v", len(frames), err, len(pieces), err2)
		}
		for _, fr := range frames {
			for _, value := range [][]byte{fr.Params, fr.Error, fr.Result} {
				if len(value) == 0 {
					continue
				}
				d := msgpack.NewDecoder(bytes.NewReader(value))
				if err := d.Skip(); err != nil && !strings.Contains(err.Error(), "unknown ext") {
					t.Fatalf("% x: library: %v", value, err)
				}
			}
		}
	})
}

// A frame that another library encoded is read as one frame with the same bytes.
func FuzzAgainstLibrary(f *testing.F) {
	f.Add(uint32(1), "m", int64(-5), 2.5, []byte("raw"), "text", true, uint8(3))
	f.Add(uint32(math.MaxUint32), "", int64(math.MinInt64), math.Inf(1), []byte{}, strings.Repeat("x", 300), false, uint8(40))
	f.Fuzz(func(t *testing.T, id uint32, method string, i int64, fl float64, raw []byte, text string, b bool, n uint8) {
		if len(method) > 256 || len(raw)+len(text) > 1000 || strings.ToValidUTF8(method, "") != method {
			return
		}
		list := []any{}
		for k := range int(n) {
			list = append(list, map[string]any{"k": k, text: nil})
		}
		params := []any{i, fl, raw, text, b, list}
		stream := pack(t, []any{0, id, method, params})
		frames, err := readAll(bytes.NewReader(append(stream, stream...)), Limits{Frame: 1 << 20})
		if !errors.Is(err, io.EOF) || len(frames) != 2 {
			t.Fatalf("%d frames, %v", len(frames), err)
		}
		if fr := frames[1]; fr.ID != id || string(fr.Method) != method || !bytes.Equal(fr.Params, stream[len(stream)-len(fr.Params):]) {
			t.Fatalf("%+v", fr)
		}
		var back []any
		if err := msgpack.Unmarshal(frames[0].Params, &back); err != nil || len(back) != len(params) {
			t.Fatalf("%d params, %v", len(back), err)
		}
	})
}

func BenchmarkReader(b *testing.B) {
	params := pack(b, []any{"あさひかわ 500 あ 12-34", 42, map[string]any{"district": "kamikawa"}})
	frame := AppendRequest(nil, 70000, "plate.lookup", params)
	stream := bytes.Repeat(frame, 1000)
	b.SetBytes(int64(len(frame)))
	b.ReportAllocs()
	for left := b.N; left > 0; left -= 1000 {
		r := NewReader(bytes.NewReader(stream), Limits{})
		for range min(left, 1000) {
			if _, err := r.Next(); err != nil {
				b.Fatal(err)
			}
		}
	}
}
