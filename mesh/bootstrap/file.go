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

	lastContent   []byte // of the settings that were returned last, or of those that were invalid; nil: none yet
	unsettledText []byte // read once by ReadIfSettled; nil: none
}

// ReadIfChanged returns the settings if the content of the file has changed since the last call, and otherwise nil. So an error in the
// content is returned once, not at each call.
func (f *File) ReadIfChanged() (*Settings, error) {
	text, err := f.read()
	if err != nil || f.isLast(text) {
		return nil, err
	}
	return f.parse(text)
}

// ReadIfSettled is like ReadIfChanged, for a file that may just be being written: a part of a settings file may be valid. A change counts
// once two calls in a row have read it; after the first of them settled is false, and the caller calls again soon.
func (f *File) ReadIfSettled() (s *Settings, settled bool, err error) {
	text, err := f.read()
	if err != nil || f.isLast(text) {
		f.unsettledText = nil
		return nil, true, err
	}
	if f.unsettledText == nil || !bytes.Equal(text, f.unsettledText) {
		f.unsettledText = text
		return nil, false, nil
	}
	f.unsettledText = nil
	s, err = f.parse(text)
	return s, true, err
}

func (f *File) read() ([]byte, error) {
	if f.Path == "" {
		return nil, errors.Errorf("%s is not set: no settings file", EnvVariable)
	}
	text, err := os.ReadFile(f.Path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return text, nil
}

func (f *File) isLast(text []byte) bool {
	return f.lastContent != nil && bytes.Equal(text, f.lastContent)
}

func (f *File) parse(text []byte) (*Settings, error) {
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
