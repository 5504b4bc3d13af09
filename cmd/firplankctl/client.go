package main

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"firplank/mesh/config"
)

const (
	// requestTimeout bounds a call to a control machine, its answer included.
	requestTimeout = 8 * time.Second
	// maxStatusBytes bounds the answer to a call for the status.
	maxStatusBytes = 1 << 20
	// maxReasonBytes bounds what is shown of an error's answer.
	maxReasonBytes = 4 << 10

	readConfigPath    = "/Timetable.Read"
	replaceConfigPath = "/Timetable.Replace"
)

// client calls one control machine.
type client struct {
	addr string // host and port of its control address
	http http.Client
}

func newClient(addr string) *client {
	return &client{addr: addr, http: http.Client{Timeout: requestTimeout}}
}

// get returns the body of an answer, up to a bound. An answer other than 200 is an error.
func (c *client) get(path string, maxBytes int64) ([]byte, error) {
	resp, err := c.http.Get("http://" + c.addr + path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // only read from
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s answers %s: %s", c.addr, resp.Status, body)
	}
	return body, nil
}

// answer is a control machine's answer to a request that changes something.
type response struct {
	statusCode int
	status     string // the code with its text
	reason     []byte // the beginning of the body
}

// post sends JSON.
func (c *client) post(path string, body []byte) (response, error) {
	resp, err := c.http.Post("http://"+c.addr+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()                           // only read from
	reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes)) // the status alone counts, where the body is cut off
	return response{statusCode: resp.StatusCode, status: resp.Status, reason: reason}, nil
}

// loadConfig reads a configuration from a file, or, where none is named, the one in force from a control machine. It returns its text, too.
func loadConfig(file, controlAddr string) (*config.Config, []byte, error) {
	if file == "" {
		text, err := newClient(controlAddr).get(readConfigPath, config.MaxBytes+1)
		if err != nil {
			return nil, nil, err
		}
		return parseConfig(controlAddr, text)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	return parseConfig(file, text)
}

// parseConfig names the source in its error.
func parseConfig(source string, text []byte) (*config.Config, []byte, error) {
	c, err := config.Parse(text)
	if err != nil {
		return nil, nil, errors.Wrap(err, source)
	}
	return c, text, nil
}
