package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"firplank/internal/strictjson"
)

// ErrTooLarge is wrapped by the errors for a configuration of more than MaxBytes.
var ErrTooLarge = errors.New("configuration too large")

// Errors that an InvalidError may wrap.
var (
	// ErrMissing reports that a name is empty, or that there is no list where one has to be, if only an empty one.
	ErrMissing = errors.New("is missing")
	// ErrDuplicate reports that two services have the same name, or two routes the same host and prefix.
	ErrDuplicate = errors.New("is there twice")
	// ErrUnknownService reports that a route leads to a service that the configuration doesn't list.
	ErrUnknownService = errors.New("unknown service")
)

// SyntaxError reports that a text is not JSON, that a field has the wrong type, or that it is there twice.
type SyntaxError struct {
	Line  int    // counted from 1
	Field string // path of the field that is wrong; empty: the text is not JSON
	Err   error
}

// Error states the line, and the field if there is one.
func (e *SyntaxError) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("line %d: %s: %v", e.Line, e.Field, e.Err)
	}
	return fmt.Sprintf("line %d: %v", e.Line, e.Err)
}

// Unwrap returns the error of the JSON decoder.
func (e *SyntaxError) Unwrap() error { return e.Err }

// InvalidError reports that a configuration breaks a rule.
type InvalidError struct {
	Path string // of the field, by the keys of the JSON form; empty: Err names it
	Err  error
}

// Error states the path of the field, and what is wrong with it.
func (e *InvalidError) Error() string {
	if e.Path == "" {
		return e.Err.Error()
	}
	return e.Path + ": " + e.Err.Error()
}

// Unwrap returns the error in the field.
func (e *InvalidError) Unwrap() error { return e.Err }

func invalid(path string, err error) error { return &InvalidError{Path: path, Err: err} }

// syntaxError returns an error of a JSON decoder with its line.
func syntaxError(text []byte, err error) error {
	var strict *strictjson.Error
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &strict):
		return &SyntaxError{Line: strict.Line, Field: strict.Field, Err: strict.Err}
	case errors.As(err, &syntax):
		return &SyntaxError{Line: lineAt(text, syntax.Offset), Err: err}
	case errors.As(err, &wrongType):
		return &SyntaxError{Line: lineAt(text, wrongType.Offset), Field: wrongType.Field, Err: err}
	}
	return &SyntaxError{Line: lineAt(text, int64(len(text))), Err: err}
}

// lineAt returns the number of the line at an offset. Offsets outside of the text count as its start or end.
func lineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(max(offset, 0), int64(len(text)))], []byte{'\n'})
}
