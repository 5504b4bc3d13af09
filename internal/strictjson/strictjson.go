// Package strictjson decodes JSON documents from outside. A document is decoded only if it can be read completely and in one way: it is
// one JSON value in UTF-8 with nothing after it, and no object has the same name twice, nor two names that differ only in case and stand
// for one field. Readers of JSON disagree on all other documents. It has no I/O and no state.
//
// Names are matched to the fields of structs as in encoding/json, and unknown ones are ignored, as callers may add some.
package strictjson

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"reflect"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// Errors that an Error may wrap.
var (
	// ErrTrailing reports that something follows the value.
	ErrTrailing = errors.New("something follows the JSON value")
	// ErrDuplicateName reports that an object has a name twice.
	ErrDuplicateName = jsontext.ErrDuplicateName
	// ErrNull reports null in place of a value.
	ErrNull = errors.New("null in place of a value")
)

// Error reports why a document can't be decoded.
type Error struct {
	Line  int    // of about the place of the error, counted from 1
	Field string // JSON pointer (RFC 6901) to the value that is wrong; empty: the document is not JSON, or it has no such place
	Err   error
}

// Error states the line, the field if there is one, and what is wrong.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %v", e.Line, e.Err)
	}
	return fmt.Sprintf("line %d: %s: %v", e.Line, e.Field, e.Err)
}

// Unwrap returns what is wrong.
func (e *Error) Unwrap() error { return e.Err }

// likeStandardLibrary matches names to fields as encoding/json does.
var likeStandardLibrary = json.JoinOptions(
	json.MatchCaseInsensitiveNames(true),
	jsonv1.MatchCaseSensitiveDelimiter(true),
)

// withoutNull rejects null for any known field but a list.
var withoutNull = json.JoinOptions(
	likeStandardLibrary,
	json.WithUnmarshalers(json.UnmarshalFromFunc(rejectNull)),
)

// rejectNull returns ErrNull if the next value is null and target points to anything but a slice, which encoding/json encodes as null if it
// is nil. It leaves all other values to the default decoding.
func rejectNull(decoder *jsontext.Decoder, target any) error {
	if decoder.PeekKind() == jsontext.KindNull && reflect.TypeOf(target).Elem().Kind() != reflect.Slice {
		return ErrNull
	}
	return errors.ErrUnsupported
}

// Unmarshal decodes a document into v. Null is an error, except for a list, which is nil then, and as the value of an unknown name. Errors
// are of type *Error. The text is not retained; v may have been changed if there is an error.
func Unmarshal(text []byte, v any) error { return unmarshal(text, v, withoutNull) }

// UnmarshalNullable is like Unmarshal, for documents in which null stands for a value that is not given.
func UnmarshalNullable(text []byte, v any) error { return unmarshal(text, v, likeStandardLibrary) }

// Check reports why a document can't be decoded, whatever its structure; nil: it can.
func Check(text []byte) error {
	var value jsontext.Value
	return UnmarshalNullable(text, &value)
}

func unmarshal(text []byte, v any, options json.Options) error {
	decoder := jsontext.NewDecoder(bytes.NewBuffer(text), options)
	if err := json.UnmarshalDecode(decoder, v, options); err != nil {
		return newError(text, decoder.InputOffset(), cmp.Or(syntaxError(text), err))
	}
	end := decoder.InputOffset()
	if _, err := decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return newError(text, end, ErrTrailing)
	}
	return nil
}

// syntaxError returns the syntax error of a document, if there is one, whatever its structure.
func syntaxError(text []byte) error {
	_, err := jsontext.NewDecoder(bytes.NewBuffer(text)).ReadValue()
	return err
}

// newError returns an error with its place: the one that it states itself, or else the offset.
func newError(text []byte, offset int64, err error) *Error {
	var syntactic *jsontext.SyntacticError
	var semantic *json.SemanticError
	var field jsontext.Pointer
	switch {
	case errors.As(err, &syntactic):
		offset = syntactic.ByteOffset
		if errors.Is(err, ErrDuplicateName) {
			field = syntactic.JSONPointer
		}
	case errors.As(err, &semantic):
		offset, field = semantic.ByteOffset, semantic.JSONPointer
	}
	before := text[:min(max(offset, 0), int64(len(text)))]
	return &Error{Line: 1 + bytes.Count(before, []byte{'\n'}), Field: string(field), Err: err}
}
