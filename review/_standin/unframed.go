package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The filings of noLength: so many clients file so many each; with trouble every noLengthEvery-th answer of a server has no length.
const (
	noLengthClients = 4
	noLengthFilings = 25
	noLengthEvery   = 20
)

// noLength has clients file owner transfers, which servers answer with 201 Created. With trouble, one answer in twenty has no length and
// ends with its connection, as it says by Connection: close. MIXED: a client that receives a success receives the server's whole body.
func noLength(w *world) (held bool, err error) {
	if err := w.start(tax, transfer, transfer, transfer); err != nil {
		return false, err
	}
	var answers atomic.Int64
	for _, m := range w.branch[1:] {
		s := m.server
		s.finish = func(c net.Conn, r *http.Request, body string) bool {
			id := r.Header.Get("Try-Id")
			if !w.trouble || answers.Add(1)%noLengthEvery != 0 {
				return s.answer(c, r, http.StatusCreated, body, "Postmark: "+s.id+"."+id)
			}
			w.note("%s answers %s with 201 without a length, ends the answer with its connection: %q", s.id, id, body)
			fmt.Fprintf(c, "HTTP/1.1 201 Created\r\nTry-Id: %s\r\nPostmark: %s.%s\r\nConnection: close\r\n\r\n%s", id, s.id, id, body)
			return false // the connection is closed in order
		}
	}
	time.Sleep(inTouch + time.Second)
	var mu sync.Mutex
	broken, served := 0, 0
	var clients sync.WaitGroup
	for c := range noLengthClients {
		clients.Go(func() {
			for i := range noLengthFilings {
				r := w.branch[0].file(fmt.Sprintf("f%d-%d", c, i), 512, longPiece, 0)
				mu.Lock()
				if r.status == http.StatusCreated {
					served++
				}
				if r.status/100 == 2 && r.text != w.bodyOf(r.id) {
					broken++
					w.note("BROKEN: the client of %s received %d with Postmark %s and the body %q, and its server had answered %q", r.id, r.status,
						r.postmark, r.text, w.bodyOf(r.id))
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	w.note("MIXED: of %d successes %d came without the server's whole body", served, broken)
	return broken == 0, nil
}

// bodyOf is the body with which the server answers that has run a try.
func (w *world) bodyOf(id string) string {
	runs := w.runsOf(id)
	if len(runs) == 0 {
		return ""
	}
	return doneText(runs[0].server, id)
}

// doneText is the body of a server's good answer.
func doneText(server, id string) string { return "done by " + server + " for " + id }
