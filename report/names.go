package report

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Escape escapes a name so that it is one component of a Graphite path or a collectd identifier. Bytes other than letters,
// digits, "_" and "-" become "%" and two hexadecimal digits, and an empty name becomes "%". Different names have different
// results, which Unescape reverses. A result of more than maxBytes bytes is truncated and ends in "%~" and a hash of the name.
func Escape(name string, maxBytes int) string {
	if name == "" {
		return "%"
	}
	var b strings.Builder
	for i := range len(name) {
		if c := name[i]; isPlainByte(c) {
			b.WriteByte(c)
		} else {
			fmt.Fprintf(&b, "%%%02X", c)
		}
	}
	if b.Len() <= maxBytes {
		return b.String()
	}
	const suffixBytes = 2 + 16
	truncated := b.String()[:max(0, maxBytes-suffixBytes)]
	if escape := strings.LastIndexByte(truncated, '%'); escape >= 0 && escape > len(truncated)-3 { // don't cut within an escape
		truncated = truncated[:escape]
	}
	return fmt.Sprintf("%s%%~%016x", truncated, xxhash.Sum64String(name))
}

func isPlainByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '-'
}

// Unescape reverses Escape. It returns an error for a truncated name and for a text that isn't an escaped name.
func Unescape(text string) (string, error) {
	if text == "%" {
		return "", nil
	}
	if text == "" {
		return "", errors.New("unescape name: empty text")
	}
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case isPlainByte(c):
			b.WriteByte(c)
		case c == '%' && i+2 < len(text) && text[i+1] != '~':
			v, err := strconv.ParseUint(text[i+1:i+3], 16, 8)
			if err != nil || text[i+1:i+3] != strings.ToUpper(text[i+1:i+3]) {
				return "", fmt.Errorf("unescape name %q: invalid escape at byte %d", text, i)
			}
			b.WriteByte(byte(v))
			i += 2
		default:
			return "", fmt.Errorf("unescape name %q: truncated or invalid at byte %d", text, i)
		}
	}
	return b.String(), nil
}
