package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/go-faster/errors"
)

type document struct {
	Version string   `json:"version"`
	Routes  []route  `json:"routes"`
	Limit   *float64 `json:"limit"`
}

type route struct {
	Prefix   string  `json:"prefix"`
	Attempts int     `json:"attempts"`
	TimeoutS float64 `json:"timeout_s"`
}

// A document that readers of JSON understand differently, or that is JSON only up to some place, must not be decoded.
func TestAmbiguousDocumentsAreRejected(t *testing.T) {
	for _, c := range []struct {
		name, text string
		field      string
		is         error // nil: any
	}{
		{"a name twice", `{"version":"1","version":"2"}`, "/version", ErrDuplicateName},
		{"a list twice", `{"routes":[{"prefix":"/a/"}],"routes":[]}`, "/routes", ErrDuplicateName},
		{"a name twice, at depth", `{"routes":[{"prefix":"/a/"},{"attempts":1,"attempts":1}]}`, "/routes/1/attempts", ErrDuplicateName},
		{"names that differ in case", `{"routes":[{"Attempts":1,"attempts":2}]}`, "/routes/0/attempts", ErrDuplicateName},
		{"a name twice once unescaped", `{"version":"1","\u0076ersion":"2"}`, "/version", ErrDuplicateName},
		{"an unknown name twice", `{"later":1,"later":1}`, "/later", ErrDuplicateName},
		{"an unknown name twice, at depth", `{"later":{"x":1,"x":1}}`, "/later/x", ErrDuplicateName},
		{"a bracket behind it", `{"version":"1"}]`, "", ErrTrailing},
		{"a brace behind it", `{"version":"1"}}`, "", ErrTrailing},
		{"a document behind it", `{"version":"1"} {"version":"2"}`, "", ErrTrailing},
		{"a word behind it", `{"version":"1"}x`, "", ErrTrailing},
		{"a zero byte behind it", "{\"version\":\"1\"}\x00", "", ErrTrailing},
		{"null", `null`, "", ErrNull},
		{"null for an entry", `{"routes":[null]}`, "/routes/0", ErrNull},
		{"null for a number", `{"routes":[{"attempts":null}]}`, "/routes/0/attempts", ErrNull},
		{"a byte that is not UTF-8", "{\"version\":\"\xff\"}", "", nil},
		{"a byte that is not UTF-8 in an unknown name", "{\"\xff\":1}", "", nil},
		{"half a surrogate pair", `{"version":"\ud800"}`, "", nil},
		{"a fraction for a count", `{"routes":[{"attempts":1.5}]}`, "/routes/0/attempts", nil},
		{"a number out of range", `{"routes":[{"timeout_s":1e999}]}`, "/routes/0/timeout_s", nil},
		{"a string for a number", `{"routes":[{"timeout_s":"1"}]}`, "/routes/0/timeout_s", nil},
		{"cut short", `{"routes":[{"timeout_s":1}`, "", nil},
		{"empty", ``, "", nil},
		{"a byte order mark", "\ufeff{}", "", nil},
	} {
		err := Unmarshal([]byte(c.text), &document{})
		var typed *Error
		if !errors.As(err, &typed) || typed.Field != c.field || c.is != nil && !errors.Is(err, c.is) {
			t.Errorf("%s: error %v", c.name, err)
		}
	}
}

func TestErrorsNameTheLine(t *testing.T) {
	for text, want := range map[string]int{
		"{\n\"version\":\"1\",\n\"version\":\"2\"}": 3, "{\n\"routes\":[{\"attempts\":\"1\"}]}": 2, "{}\n\n\n]": 1, "\n\n{x": 3,
	} {
		var typed *Error
		if err := Unmarshal([]byte(text), &document{}); !errors.As(err, &typed) || typed.Line != want {
			t.Errorf("%q: %v, want line %d", text, err, want)
		}
	}
}

// Encoders write a list that is not there as null.
func TestNullForAListIsNoList(t *testing.T) {
	d := document{Routes: []route{{}}}
	if err := Unmarshal([]byte(`{"version":"1","routes":null}`), &d); err != nil || d.Routes != nil {
		t.Errorf("%v, %v", d.Routes, err)
	}
}

func TestNullStandsForNoValueWhereItIsAllowed(t *testing.T) {
	for text, want := range map[string]bool{
		`{"limit":null,"routes":null}`: true, `{"limit":1,"limit":1}`: false, `{} {}`: false, `{`: false,
	} {
		if err := UnmarshalNullable([]byte(text), &document{}); (err == nil) != want {
			t.Errorf("%s: %v", text, err)
		}
		if err := Check([]byte(text)); (err == nil) != want {
			t.Errorf("check %s: %v", text, err)
		}
	}
}

// Whatever is decoded is what encoding/json understands, so that no other reader of the same document obeys something else.
func FuzzAgreesWithStandardLibrary(f *testing.F) {
	for _, text := range []string{
		`{"version":"1","routes":[{"prefix":"/a/","attempts":2,"timeout_s":1.5}],"limit":3}`, `{"Version":"1","later":{"x":[null]}}`,
		`{"ver_sion":"1","ROUTES":[]}`, `{"routes":[{"timeout_s":1e-400}]}`, `{"version":"\ud83d\ude00"}`, `[]`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var strict, standard document
		if Unmarshal(text, &strict) != nil {
			return
		}
		if err := json.Unmarshal(text, &standard); err != nil {
			t.Fatalf("encoding/json rejects %q: %v", text, err)
		}
		if !reflect.DeepEqual(strict, standard) {
			t.Fatalf("%q: %s, and with encoding/json %s", text, fmt.Sprint(strict), fmt.Sprint(standard))
		}
	})
}
