package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// badOrder is an order of the operator that is no JSON as a whole, and what it would be without its fault.
type badOrder struct {
	what  string
	whole string // the valid configuration
	rest  string // what stands behind it by mistake
	probe string // a path that only this configuration has a route for
}

// badOrders are those of badConfig, as many as hvr-mesh sends in a row (bad_config, count = 3, gap_s = 1).
func badOrders() []badOrder {
	return []badOrder{
		{"with one brace too many", timetableWith(3, "/added3/"), "}", "/added3/x"},
		{"with a bracket too many, and the beginning of another", timetableWith(5, "/added5/"), "]" + timetableWith(6, "/added6/")[:200], "/added5/x"},
		{"with another one glued to it", timetableWith(7, "/added7/"), "}\n" + timetableWith(8, "/added8/"), "/added7/x"},
	}
}

// timetableWith is the first configuration under another number, with a route more.
func timetableWith(edition int, prefix string) string {
	more := fmt.Sprintf(`"regulations":[{"name":"added","routeKind":"safe","targetS":0.3,"precedence":1,"sorting":{"lanePrefix":%q},
   "dispatch":{"line":"tax-svc","deadlineS":1.2,"attempts":2}},`, prefix)
	text := strings.Replace(firstTimetable, `"regulations":[`, more, 1)
	return strings.Replace(text, `"edition":"00000001"`, fmt.Sprintf(`"edition":"%08x"`, edition), 1)
}

// badConfig has the operator send configurations; with trouble they are no JSON as a whole. Between them the same faults stand at the end
// of an order that is cut short, which has to be refused, too. CONFIG: nothing invalid is acknowledged or in force.
func badConfig(w *world) (held bool, err error) {
	if err := w.start(tax, transfer, transfer, tax); err != nil {
		return false, err
	}
	time.Sleep(inTouch + time.Second)
	cut := timetableWith(2, "/added2/")
	cut = cut[:len(cut)-1]
	w.note("the operator sends an order that is cut short by a byte: %d", w.put(1, cut))
	held = true
	for i, o := range badOrders() {
		body := o.whole
		if w.trouble {
			body += o.rest
		}
		valid := json.Valid([]byte(body))
		status := w.put(i%coreCount, body)
		w.note("the operator sends to %s an order %s; valid JSON: %v; it ends in %q: answered %d", w.core[i%coreCount].name, o.what, valid,
			body[max(0, len(body)-40):], status)
		if !valid && status/100 == 2 {
			held = false
			w.note("BROKEN: an order that can't be read whole is acknowledged")
		}
		time.Sleep(inForce + 500*time.Millisecond)
		for _, m := range w.branch {
			got := m.get(o.probe)
			w.note("client at %s: GET %s, which only that order has a route for, is answered %s", m.name, o.probe, got)
			if !valid && strings.HasPrefix(got, "200") {
				held = false
				w.note("BROKEN: what can't be read whole is in force at %s", m.name)
			}
		}
	}
	for _, c := range w.core {
		text, status := get("http://" + c.at(portControl) + "/Timetable.Read")
		w.note("the operator reads from %s: %d, %d bytes, valid JSON: %v", c.name, status, len(text), json.Valid(text))
		if status == http.StatusOK && !json.Valid(text) {
			held = false
			w.note("BROKEN: the configuration that is read back can't be read whole: it ends in %q", text[max(0, len(text)-40):])
		}
	}
	return held, nil
}

// get reads what a URL answers; 0: nothing.
func get(url string) (text []byte, status int) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return nil, 0
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ = io.ReadAll(resp.Body)
	return text, resp.StatusCode
}

// get sends a short request of a safe route to a machine, and says how it was answered.
func (m *machine) get(path string) string {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.at(portOutgoing)+path, nil)
	if err != nil {
		return err.Error()
	}
	r.Host = host
	r.Header.Set("Try-Id", fmt.Sprintf("probe%d", tries.Add(1)))
	r.Header.Set("Deadline-Ms", "1200")
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %q", resp.StatusCode, strings.TrimSpace(string(text)))
}
