package http

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"firplank/internal/httpwire"
)

const (
	maxResponseHeadBytes = 32 << 10 // of a response head with the interim responses before it
	maxFramingFactor     = 2        // bytes on the wire, with chunk framing, per byte of the body limit
	maxReportValue       = 1e6      // for a value in a load report; no share, rate or count of one server is larger
)

var (
	errResponseTooLarge = errors.New("response exceeds the size limit")
	errResponseUnframed = errors.New("response does not delimit its body")
)

// limitedReader returns errResponseTooLarge after a number of bytes. http.ReadResponse bounds neither a head nor the
// interim responses before it, so a server whose head never ends could exhaust the memory.
type limitedReader struct {
	src       io.Reader
	remaining int
}

func (a *limitedReader) Read(p []byte) (int, error) {
	if a.remaining <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := a.src.Read(p[:min(len(p), a.remaining)])
	a.remaining -= n
	return n, err
}

// responseReader reads the responses on a connection.
type responseReader struct {
	*bufio.Reader
	limit *limitedReader
}

func newResponseReader(src io.Reader) responseReader {
	a := &limitedReader{src: src}
	return responseReader{bufio.NewReader(a), a}
}

// readWhole reads one response with its whole body. A body that ends early and a malformed response are errors.
func (r responseReader) readWhole(method string) (*http.Response, []byte, error) {
	resp, err := r.readHead(method, httpwire.MaxBufferedBody)
	if err != nil || resp.Body == http.NoBody {
		return resp, nil, err
	}
	body, err := r.readBody(resp)
	if err != nil {
		return nil, nil, err
	}
	return resp, body, nil
}

// readHead reads the head of a response whose body has at most maxBodyBytes. The body is dropped if it has no delimited
// end and the status is not a success.
func (r responseReader) readHead(method string, maxBodyBytes int64) (*http.Response, error) {
	r.limit.remaining = maxResponseHeadBytes
	for {
		closes := hasConnectionClose(r.peekHead())
		resp, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 { // an interim response: the final one follows
			continue
		}
		if resp.ContentLength > maxBodyBytes {
			return nil, fmt.Errorf("%w: it announces a body of %d bytes", errResponseTooLarge, resp.ContentLength)
		}
		h := headOf(resp)
		h.announcedClose = closes
		if h.unterminated() {
			if h.success() {
				return nil, errResponseUnframed
			}
			resp.Close, resp.Body = true, http.NoBody // the head suffices
			return resp, nil
		}
		r.limit.remaining = maxFramingFactor * int(maxBodyBytes)
		return resp, nil
	}
}

// discardInterim waits for the head of a response and discards it if the response is an interim one. It reports whether
// it did.
func (r responseReader) discardInterim() bool {
	r.limit.remaining = maxResponseHeadBytes
	head := r.peekHead()
	if !interimStatusLine.Match(head) {
		return false
	}
	_, err := r.Discard(len(head))
	return err == nil
}

// interimStatusLine matches the status line of an interim response.
var interimStatusLine = regexp.MustCompile(`^HTTP/1\.[01] 1[0-9][0-9][ \r\n]`)

// peekHead waits for the head of a response and returns it without consuming it; nil if it exceeds the buffer or the
// connection fails.
func (r responseReader) peekHead() []byte {
	for {
		b, _ := r.Peek(r.Buffered()) // buffered bytes are always available
		for _, end := range [...]string{"\n\r\n", "\n\n"} {
			if at := bytes.Index(b, []byte(end)); at >= 0 {
				return b[:at+len(end)]
			}
		}
		if _, err := r.Peek(len(b) + 1); err != nil {
			return nil
		}
	}
}

// readBody reads a body that is buffered whole.
func (r responseReader) readBody(resp *http.Response) ([]byte, error) {
	r.limit.remaining = min(r.limit.remaining, maxFramingFactor*httpwire.MaxBufferedBody)
	body, err := io.ReadAll(io.LimitReader(resp.Body, httpwire.MaxBufferedBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > httpwire.MaxBufferedBody {
		return nil, errResponseTooLarge
	}
	return body, nil
}

// loadReport returns the load report in a response header. A malformed report is ignored; the response is not.
func loadReport(h http.Header, fields []string) []float32 {
	for _, text := range h[loadHeader] {
		if report := parseReport(text, fields); report != nil {
			return report
		}
	}
	return nil
}

// reportAliases maps names that servers may use in load reports to the names in the settings.
var reportAliases = map[string]string{
	"inflight": "rif", "queue": "q", "util": "busy", "latency_ms": "lat_ms", "qps": "rate", "eps": "fail_rate",
}

// parseReport parses «TEXT inflight=7, util=0.61» and returns the values in the order of fields. It returns nil if a
// field is missing or a value is not a valid load, because the values are used by position.
func parseReport(text string, fields []string) []float32 {
	text, found := strings.CutPrefix(strings.TrimSpace(text), "TEXT ")
	if !found || len(fields) == 0 {
		return nil
	}
	values := make(map[string]float32, len(fields))
	for _, part := range strings.Split(text, ",") {
		name, figure, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(figure, 32)
		if err != nil || !(v >= 0 && v <= maxReportValue) { // false for NaN, too
			return nil
		}
		values[name] = float32(v)
		if other, ok := reportAliases[name]; ok {
			values[other] = float32(v)
		}
	}
	report := make([]float32, len(fields))
	for i, name := range fields {
		v, ok := values[name]
		if !ok {
			return nil
		}
		report[i] = v
	}
	return report
}
