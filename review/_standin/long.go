package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The filings of longBody: clients file for so long before SIGTERM and after it.
const (
	longClients = 4
	filesBefore = 2 * time.Second
	filesAfter  = 1500 * time.Millisecond
	longerBytes = 100 << 10
)

// longBody has clients file owner transfers, short and long ones by turns, while the machine that takes them gets SIGTERM after its own
// server has left. LOST: after a SIGTERM no request at which its server is at work may be broken off and answered by the system itself,
// before the client's deadline and the route's timeout.
func longBody(w *world) (held bool, err error) {
	if err := w.start(tax, transfer, transfer, transfer); err != nil {
		return false, err
	}
	time.Sleep(inTouch + time.Second)
	taker := w.branch[0]
	w.note("the server of %s leaves: %d", taker.name, taker.server.leave())
	time.Sleep(lastPost + 500*time.Millisecond)
	taker.server.stop()
	w.note("the server of %s has ended", taker.name)

	var replies []*reply
	var mu sync.Mutex
	var clients sync.WaitGroup
	until := time.Now().Add(filesBefore + filesAfter)
	for c := range longClients {
		clients.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				size, name := 512, fmt.Sprintf("short%d-%d", c, i)
				if i%2 == 1 {
					size, name = longerBytes, fmt.Sprintf("long%d-%d", c, i)
				}
				r := taker.file(name, size, longPiece, 5*time.Millisecond)
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(filesBefore)
	var term time.Time
	if w.trouble {
		term = time.Now()
		w.note("SIGTERM to the sidecar of %s", taker.name)
		taker.signal(syscall.SIGTERM)
	}
	clients.Wait()
	return judgeLost(w, replies, term), nil
}

// judgeLost reports whether LOST held after a SIGTERM; the zero time: there was none.
func judgeLost(w *world, replies []*reply, term time.Time) bool {
	counts, broken := map[string]int{}, 0
	for _, r := range replies {
		kind := "short"
		if r.id[0] == 'l' {
			kind = "long"
		}
		when := "before SIGTERM"
		planned := !term.IsZero() && r.endedAt.After(term) && r.endedAt.Before(term.Add(graceS+time.Second))
		if planned {
			when = "after SIGTERM"
		}
		counts[fmt.Sprintf("%s filings that ended %s, answered %d", kind, when, r.status)]++
		runs := w.runsOf(r.id)
		own := r.status == 0 || r.own() && r.status >= http.StatusInternalServerError && !promises(r.status)
		early := r.endedAt.Before(r.sentAt.Add(deadline))
		if planned && !r.wholeAt.IsZero() && len(runs) > 0 && own && early {
			w.note("BROKEN: %s was at work at %s since %v, was broken off and answered %d by the system itself, %v before its deadline", r.id,
				runs[0].server, runs[0].at.Sub(w.began).Round(time.Millisecond), r.status,
				r.sentAt.Add(deadline).Sub(r.endedAt).Round(time.Millisecond))
			broken++
		}
	}
	for what, n := range counts {
		w.note("%s: %d", what, n)
	}
	w.note("LOST: %d requests were broken off around planned work while their server was at work", broken)
	return broken == 0
}
