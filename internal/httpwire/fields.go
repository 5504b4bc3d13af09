package httpwire

import (
	"errors"
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Errors in header fields.
var (
	ErrLineEnd        = errors.New("a line that does not end with CR and LF")
	ErrMalformedField = errors.New("a header line that is none")
	ErrFoldedField    = errors.New("a folded header line")
)

// ReadFields parses header lines, each of which has to end with CR LF, without the leniency that RFC 9112 allows. The fields share the
// text's memory.
func ReadFields(text string) (http.Header, error) {
	n := strings.Count(text, "\n")
	header, values := make(http.Header, n), make([]string, 0, n)
	for text != "" {
		line, rest, ended := strings.Cut(text, "\r\n")
		if !ended || line == "" {
			return nil, ErrMalformedField
		}
		text = rest
		if line[0] == ' ' || line[0] == '\t' {
			return nil, ErrFoldedField
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !httpguts.ValidHeaderFieldName(name) {
			return nil, ErrMalformedField
		}
		value = strings.Trim(value, " \t")
		if !httpguts.ValidHeaderFieldValue(value) || strings.IndexByte(value, '\r') >= 0 {
			return nil, ErrMalformedField
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		if old := header[name]; old != nil {
			header[name] = append(old, value)
			continue
		}
		values = append(values, value)
		header[name] = values[len(values)-1 : len(values) : len(values)]
	}
	return header, nil
}
