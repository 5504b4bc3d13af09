package bootstrap

import (
	"bytes"
	"io"
	"os"

	"github.com/go-faster/errors"
	"gopkg.in/yaml.v3"
)

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) { return (&File{Path: path}).ReadIfChanged() }

// File is a settings file that is read repeatedly. It is not safe for concurrent use.
type File struct {
	Path string

	lastContent []byte // when the file was read last; nil: it was not read yet
}

// ReadIfChanged returns the settings if the content of the file has changed since the last call, and otherwise nil. So an error in the
// content is returned once, not at each call.
func (f *File) ReadIfChanged() (*Settings, error) {
	if f.Path == "" {
		return nil, errors.Errorf("%s is not set: no settings file", EnvVariable)
	}
	text, err := os.ReadFile(f.Path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if f.lastContent != nil && bytes.Equal(text, f.lastContent) {
		return nil, nil
	}
	f.lastContent = text
	s, err := Parse(text)
	if err != nil {
		return nil, errors.Wrap(err, f.Path)
	}
	return s, nil
}

// Errors that Parse may wrap.
var (
	// ErrTrailing reports that something follows the settings, such as a second YAML document.
	ErrTrailing = errors.New("something follows the settings")
	// ErrDuplicateBound reports that a bound is there twice.
	ErrDuplicateBound = errors.New("is there twice")
)

// Parse parses and validates settings in YAML. A text with a key twice, or with anything after its first document, is an error. Errors
// state the line, the field or the bound that is wrong.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(s); err != nil && !errors.Is(err, io.EOF) { // the error states the line; an empty text lacks all settings
		return nil, err
	}
	if err := decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		return nil, errors.Join(ErrTrailing, err)
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	bounds, err := parseBounds(s.RawBounds)
	if err != nil {
		return nil, err
	}
	s.Bounds = bounds
	return s, nil
}
