package bootstrap

import (
	"bytes"
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

// Parse parses and validates settings in YAML. Its errors state the line, the field or the bound that is wrong.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := yaml.Unmarshal(text, s); err != nil { // the error states the line
		return nil, err
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
