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
	// requestTimeout bounds a request to a control machine, including the read of the response.
	requestTimeout = 8 * time.Second
	// maxStatusBytes bounds the response to a status request.
	maxStatusBytes = 1 << 20
	// maxReasonBytes bounds the part of an error response that is shown.
	maxReasonBytes = 4 << 10

	readConfigPath    = "/Timetable.Read"
	replaceConfigPath = "/Timetable.Replace"
)

// client sends requests to one control machine.
type client struct {
	addr string // host and port of its control address
	http http.Client
}

func newClient(addr string) *client {
	return &client{addr: addr, http: http.Client{Timeout: requestTimeout}}
}

// get returns at most maxBytes of the body of a response. A status other than 200 is an error.
func (c *client) get(path string, maxBytes int64) ([]byte, error) {
	resp, err := c.http.Get("http://" + c.addr + path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // the body is only read
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("%s answers %s: %s", c.addr, resp.Status, body)
	}
	return body, nil
}

// response is a control machine's response to a POST.
type response struct {
	statusCode int
	status     string // status code and text
	reason     []byte // the first maxReasonBytes of the body
}

// post sends a JSON body. Any status counts as a response, not as an error.
func (c *client) post(path string, body []byte) (response, error) {
	resp, err := c.http.Post("http://"+c.addr+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()                           // the body is only read
	reason, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes)) // the status suffices if the body is incomplete
	return response{statusCode: resp.StatusCode, status: resp.Status, reason: reason}, nil
}

// loadConfig reads a configuration from a file, or the one in force from a control machine if file is empty. It also
// returns the text.
func loadConfig(file, controlAddr string) (*config.Config, []byte, error) {
	if file == "" {
		text, err := newClient(controlAddr).get(readConfigPath, config.MaxBytes+1)
		if err != nil {
			return nil, nil, err
		}
		c, err := config.ParseCommitted(text)
		if err != nil {
			return nil, nil, errors.Wrap(err, controlAddr)
		}
		return c, text, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	c, err := config.Parse(text)
	if err != nil {
		return nil, nil, errors.Wrap(err, file)
	}
	return c, text, nil
}
