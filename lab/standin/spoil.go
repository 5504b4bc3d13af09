package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxSpoilBytes bounds a response without end. It is large enough to fail a reader without a bound of its own.
const maxSpoilBytes = 4 << 20

// write sends a reply, corrupted if the fault says so, and reports whether the connection can be used further.
func (s *Server) write(c *serverConn, r *reply) bool {
	s.mu.Lock()
	report := s.report()
	s.mu.Unlock()
	if r.spoil.Form == "bad_report" {
		report = "TEXT util=NaN, qps=x,,"
	}
	if report != "" {
		r.header += "Endpoint-Load-Metrics: " + report + "\r\n"
	}
	plain := r.text(len(r.body))
	switch r.spoil.Form {
	case "noise":
		return writeRepeatedly(c, "\x00\xff\x16\x03 no answer at all", 1)
	case "endless_head":
		return writeRepeatedly(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat("X-More: and more of it\r\n", 400), maxSpoilBytes/9600)
	case "short_length":
		_, err := io.WriteString(c, r.text(len(r.body)/2))
		return err == nil
	case "long_length":
		return writeRepeatedly(c, r.text(len(r.body)+100), 1)
	case "huge_length":
		return writeRepeatedly(c, r.text(3<<30)+strings.Repeat("more ", 2000), maxSpoilBytes/10000)
	case "cut_off":
		_, _ = io.WriteString(c, plain[:len(plain)-len(r.body)/2]) // a closed connection is reported by the next read
		_ = c.Close()                                              // the connection is released even where this fails
		return false
	case "interim":
		plain = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + plain
	case "pieces":
		for i := range len(plain) {
			if _, err := io.WriteString(c, plain[i:i+1]); err != nil {
				return false
			}
		}
		return true
	case "second_copy":
		if r.spoil.Delay == 0 {
			plain += plain
			break
		}
		copyOf := plain
		s.tasks.Go(func() {
			time.Sleep(r.spoil.Delay)
			_, _ = io.WriteString(c, copyOf) // a closed connection is reported by the next read
		})
	}
	_, err := io.WriteString(c, plain)
	return err == nil && !r.closeConn
}

// writeRepeatedly sends text a number of times or until a write fails. It returns false, as the connection can't be used
// further.
func writeRepeatedly(c io.Writer, text string, times int) bool {
	for range times {
		if _, err := io.WriteString(c, text); err != nil {
			break
		}
	}
	return false
}

func (r *reply) text(length int) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", r.status, http.StatusText(r.status), r.header, length, r.body)
	return b.String()
}
