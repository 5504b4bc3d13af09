package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// The filings of earlyAnswer: every earlyEvery-th of those that are long is answered early.
const (
	earlyFilings = 40
	earlyEvery   = 20
	longBytes    = 256 << 10
	longPiece    = 16 << 10
	longPause    = 10 * time.Millisecond
)

// earlyAnswer has clients file owner transfers, short and long ones by turns. With trouble, a server answers one long one in twenty before
// it has read its body, once with its own 500 and once with a 200. REFUSED: none that has run may get a 429, 503, 408 or 421.
func earlyAnswer(w *world) (held bool, err error) {
	if err := w.start(tax, transfer, transfer, transfer); err != nil {
		return false, err
	}
	var long atomic.Int64
	for _, m := range w.branch[1:] {
		m.server.early = func(r *http.Request) int {
			if r.ContentLength < longBytes {
				return 0
			}
			n := long.Add(1)
			switch {
			case !w.trouble || n%earlyEvery != 5:
				return 0
			case n/earlyEvery%2 == 0:
				return http.StatusInternalServerError
			}
			return http.StatusOK
		}
	}
	time.Sleep(inTouch + time.Second)
	broken, twice := 0, 0
	for i := range 2 * earlyFilings {
		size, name := 512, fmt.Sprintf("short%d", i/2)
		if i%2 == 1 {
			size, name = longBytes, fmt.Sprintf("long%d", i/2)
		}
		refused, begun := fileAsClients(w, w.branch[0], name, size)
		if refused {
			broken++
		}
		if begun > 1 {
			twice++
		}
	}
	w.note("REFUSED: %d tries that had run were answered with a promise that they had not; %d filings were worked on twice by that",
		broken, twice)
	return broken == 0, nil
}

// fileAsClients files as the pages say that clients do: after a promise once more, as another try on a new connection, when Retry-After has
// passed. It reports whether a try that had run got a promise, and how many of its tries have run.
func fileAsClients(w *world, at *machine, filing string, size int) (refused bool, begun int) {
	for range 2 {
		r := at.file(filing, size, longPiece, longPause)
		ran := len(w.runsOf(r.id))
		if ran > 0 {
			begun++
		}
		if !promises(r.status) {
			break
		}
		if ran > 0 {
			w.note("BROKEN: %s has run at %s, and its client was told %d", r.id, w.runsOf(r.id)[0].server, r.status)
			refused = true
		}
		wait, err := time.ParseDuration(r.retry + "s")
		if err != nil || wait > deadline/3 {
			wait = 0
		}
		time.Sleep(wait)
	}
	return refused, begun
}
