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
	maxResponseHeadBytes = 32 << 10 // of an answer and the interim ones ahead of it
	maxFramingFactor     = 2        // times the body that its framing in chunks may take
	maxReportValue       = 1e6      // of a load report: beyond it no share, rate or count of one server is meant
)

var (
	errResponseTooLarge = errors.New("an answer beyond what a message may hold")
	errResponseUnframed = errors.New("an answer that does not say where it ends")
)

// allowance lets only so many bytes through. http.ReadResponse bounds neither a head nor the interim answers
// ahead of it: a server whose head does not end would fill the memory.
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

// answerReader reads the answers that come on a connection.
type responseReader struct {
	*bufio.Reader
	limit *limitedReader
}

func newResponseReader(src io.Reader) responseReader {
	a := &limitedReader{src: src}
	return responseReader{bufio.NewReader(a), a}
}

// next reads one answer to its last byte; a body that ends early is an error, and so is what no answer may be.
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

// head reads the head of an answer whose body has most bytes at most. A body that cannot be read to its end is taken off.
func (r responseReader) readHead(method string, maxBodyBytes int64) (*http.Response, error) {
	r.limit.remaining = maxResponseHeadBytes
	for {
		closes := hasConnectionClose(r.peekHead())
		resp, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 { // an interim answer: the real one follows
			continue
		}
		if resp.ContentLength > maxBodyBytes {
			return nil, fmt.Errorf("%w: it announces %d bytes", errResponseTooLarge, resp.ContentLength)
		}
		h := headOf(resp)
		h.announcedClose = closes
		if h.unterminated() {
			if h.success() {
				return nil, errResponseUnframed
			}
			resp.Close, resp.Body = true, http.NoBody // its head is enough
			return resp, nil
		}
		r.limit.remaining = maxFramingFactor * int(maxBodyBytes)
		return resp, nil
	}
}

// awaitByte waits for the first byte of an answer. It reports whether one has come.
func (r responseReader) waitForByte() bool {
	r.limit.remaining = maxResponseHeadBytes
	_, err := r.Peek(1)
	return err == nil
}

// dropInterim waits for the head of an answer and takes it off if it is an interim one. It reports whether it was.
func (r responseReader) discardInterim() bool {
	r.limit.remaining = maxResponseHeadBytes
	head := r.peekHead()
	if !interimStatusLine.Match(head) {
		return false
	}
	_, err := r.Discard(len(head))
	return err == nil
}

// interimStatus matches the status line of an interim answer.
var interimStatusLine = regexp.MustCompile(`^HTTP/1\.[01] 1[0-9][0-9][ \r\n]`)

// peekHead waits for the head of an answer and returns it, as far as the reader's buffer holds it.
func (r responseReader) peekHead() []byte {
	for {
		b, _ := r.Peek(r.Buffered()) // what is buffered is there
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

// whole reads a body that is held whole.
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

// reportOf returns the load report of an answer. One that cannot be read is dropped, the answer is not.
func loadReport(h http.Header, fields []string) []float32 {
	for _, text := range h[loadHeader] {
		if report := parseReport(text, fields); report != nil {
			return report
		}
	}
	return nil
}

// otherNames are the words that load reports may use for a figure which the settings name otherwise.
var reportAliases = map[string]string{
	"inflight": "rif", "queue": "q", "util": "busy", "latency_ms": "lat_ms", "qps": "rate", "eps": "fail_rate",
}

// parseReport reads «TEXT inflight=7, util=0.61» into the order of fields. A report that lacks one of them, or
// holds what is no number or no load, counts as none: the module goes by position.
func parseReport(text string, fields []string) []float32 {
	text, found := strings.CutPrefix(strings.TrimSpace(text), "TEXT ")
	if !found || len(fields) == 0 {
		return nil
	}
	values := make(map[string]float32, len(fields))
	for _, part := range strings.Split(text, ",") {
		name, figure, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(figure, 32)
		if err != nil || !(v >= 0 && v <= maxReportValue) { // NaN is neither
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
