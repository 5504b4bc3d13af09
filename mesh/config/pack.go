package config

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
)

// Pack compresses a configuration's text in the DEFLATE format (RFC 1951), in which it is stored and sent.
func Pack(body []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // NewWriter fails only for unknown levels
	}
	_, _ = w.Write(body) // writing to a buffer never fails
	_ = w.Close()
	return out.Bytes()
}

// Unpack returns the text that Pack has compressed. It fails if the bytes are corrupt, and with ErrTooLarge if the text is longer than
// MaxBytes.
func Unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = r.Close() }() // no data can be lost by an error here
	body, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack")
	}
	if len(body) > MaxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "more than %d bytes unpacked", MaxBytes)
	}
	return body, nil
}

// ParsePacked parses the text that Pack has compressed.
func ParsePacked(packed []byte) (*Config, error) {
	body, err := Unpack(packed)
	if err != nil {
		return nil, err
	}
	return Parse(body)
}
