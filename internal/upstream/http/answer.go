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
	maxAnswerHead = 32 << 10 // of an answer and the interim ones ahead of it
	maxFraming    = 2        // times the body that its framing in chunks may take
	mostFigure    = 1e6      // of a load report: beyond it no share, rate or count of one server is meant
)

var (
	errHuge     = errors.New("an answer beyond what a message may hold")
	errUnframed = errors.New("an answer that does not say where it ends")
)

// allowance lets only so many bytes through. http.ReadResponse bounds neither a head nor the interim answers
// ahead of it: a server whose head does not end would fill the memory.
type allowance struct {
	from io.Reader
	left int
}

func (a *allowance) Read(p []byte) (int, error) {
	if a.left <= 0 {
		return 0, errHuge
	}
	n, err := a.from.Read(p[:min(len(p), a.left)])
	a.left -= n
	return n, err
}

// answerReader reads the answers that come on a connection.
type answerReader struct {
	*bufio.Reader
	allowance *allowance
}

func newAnswerReader(from io.Reader) answerReader {
	a := &allowance{from: from}
	return answerReader{bufio.NewReader(a), a}
}

// next reads one answer to its last byte; a body that ends early is an error, and so is what no answer may be.
func (r answerReader) next(method string) (*http.Response, []byte, error) {
	resp, err := r.head(method, httpwire.MaxBufferedBody)
	if err != nil || resp.Body == http.NoBody {
		return resp, nil, err
	}
	body, err := r.whole(resp)
	if err != nil {
		return nil, nil, err
	}
	return resp, body, nil
}

// head reads the head of an answer whose body has most bytes at most. A body that cannot be read to its end is taken off.
func (r answerReader) head(method string, most int64) (*http.Response, error) {
	r.allowance.left = maxAnswerHead
	for {
		closes := saysClose(r.peekHead())
		resp, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 { // an interim answer: the real one follows
			continue
		}
		if resp.ContentLength > most {
			return nil, fmt.Errorf("%w: it announces %d bytes", errHuge, resp.ContentLength)
		}
		h := headOf(resp)
		h.closes = closes
		if h.endless() {
			if h.success() {
				return nil, errUnframed
			}
			resp.Close, resp.Body = true, http.NoBody // its head is enough
			return resp, nil
		}
		r.allowance.left = maxFraming * int(most)
		return resp, nil
	}
}

// awaitByte waits for the first byte of an answer. It reports whether one has come.
func (r answerReader) awaitByte() bool {
	r.allowance.left = maxAnswerHead
	_, err := r.Peek(1)
	return err == nil
}

// dropInterim waits for the head of an answer and takes it off if it is an interim one. It reports whether it was.
func (r answerReader) dropInterim() bool {
	r.allowance.left = maxAnswerHead
	head := r.peekHead()
	if !interimStatus.Match(head) {
		return false
	}
	_, err := r.Discard(len(head))
	return err == nil
}

// interimStatus matches the status line of an interim answer.
var interimStatus = regexp.MustCompile(`^HTTP/1\.[01] 1[0-9][0-9][ \r\n]`)

// peekHead waits for the head of an answer and returns it, as far as the reader's buffer holds it.
func (r answerReader) peekHead() []byte {
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
func (r answerReader) whole(resp *http.Response) ([]byte, error) {
	r.allowance.left = min(r.allowance.left, maxFraming*httpwire.MaxBufferedBody)
	body, err := io.ReadAll(io.LimitReader(resp.Body, httpwire.MaxBufferedBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > httpwire.MaxBufferedBody {
		return nil, errHuge
	}
	return body, nil
}

// reportOf returns the load report of an answer. One that cannot be read is dropped, the answer is not.
func reportOf(h http.Header, fields []string) []float32 {
	for _, text := range h[loadHeader] {
		if report := parseReport(text, fields); report != nil {
			return report
		}
	}
	return nil
}

// otherNames are the words that load reports may use for a figure which the settings name otherwise.
var otherNames = map[string]string{
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
		if err != nil || !(v >= 0 && v <= mostFigure) { // NaN is neither
			return nil
		}
		values[name] = float32(v)
		if other, ok := otherNames[name]; ok {
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
