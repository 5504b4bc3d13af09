package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// officesTimetable has a route that must not run twice, and below it one that may: both lead to transfer-svc, as owner-transfer and
// owner-check do at hvr-mesh.
const officesTimetable = `{"edition":"00000001","caps":{"envelopeBytes":16384,"contentsBytes":67108864,"envelopeS":3,"idleS":15},
 "gates":[{"depot":"plates.example","regulations":[
  {"name":"owner-transfer","routeKind":"unsafe","targetS":1,"precedence":1,"sorting":{"lanePrefix":"/transfers/"},
   "dispatch":{"line":"transfer-svc","deadlineS":4,"attempts":2}},
  {"name":"owner-check","routeKind":"safe","targetS":0.8,"precedence":1,"sorting":{"lanePrefix":"/transfers/kushiro/"},
   "dispatch":{"line":"transfer-svc","deadlineS":3,"attempts":2}}]}],
 "fleets":[{"name":"transfer-svc","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
  {"name":"tax-svc","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}]}`

// The doses of the lost answers: hvr-mesh has answer_lost with how = "reset", share = 0.5, x = 0.05 and for_s = 4.
const (
	slashClients  = 20
	slashLostOne  = 20 // one answer in so many of a server in trouble is lost
	slashTrouble  = 4 * time.Second
	slashFilingsS = 3600 * time.Millisecond // for so long clients begin to file
)

// slash has clients file owner transfers under references of an office and a number, which they write as one segment of the path: the
// slash between the two is percent-encoded. Every other filing has a reference without an office. With trouble, half of the servers run
// some requests and lose the answers. TWICE: a request that is not repeatable runs once at most.
func slash(w *world) (held bool, err error) {
	w.timetable = officesTimetable
	if err := w.start(tax, transfer, transfer, transfer, transfer); err != nil {
		return false, err
	}
	time.Sleep(inTouch + time.Second)
	end := time.Now().Add(slashTrouble)
	for _, m := range w.branch[3:] { // half of the four servers
		s := m.server
		var ran atomic.Int64
		s.finish = func(c net.Conn, r *http.Request, body string) bool {
			id := r.Header.Get("Try-Id")
			if w.trouble && time.Now().Before(end) && ran.Add(1)%slashLostOne == 0 {
				w.note("%s has run %s %s %s; its answer is lost: the connection is reset", s.id, id, r.Method, r.RequestURI)
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			}
			return s.answer(c, r, http.StatusOK, body, "Postmark: "+s.id+"."+id)
		}
	}
	var mu sync.Mutex
	paths := map[string]string{} // by Try-Id
	var clients sync.WaitGroup
	until := time.Now().Add(slashFilingsS)
	for c := range slashClients {
		m := w.branch[c%len(w.branch)]
		clients.Go(func() {
			for i := 0; time.Now().Before(until); i++ {
				path := fmt.Sprintf("/transfers/kushiro%%2F%d-%d", c, i)
				if i%4 == 3 {
					path = fmt.Sprintf("/transfers/%d-%d", c, i)
				}
				id := fmt.Sprintf("try%d", tries.Add(1))
				mu.Lock()
				paths[id] = path
				mu.Unlock()
				w.note("client at %s sends %s POST %s", m.name, id, path)
				w.note("client at %s: %s is answered %s", m.name, id, m.post(id, path))
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	return w.judgeTwice(paths), nil
}

// judgeTwice reports whether none of the filings has run more than once. All of their paths begin with the prefix of the unsafe route, and
// none with that of the safe one.
func (w *world) judgeTwice(paths map[string]string) (held bool) {
	encoded, twiceEncoded, twicePlain := 0, 0, 0
	for id, path := range paths {
		if !strings.HasPrefix(path, "/transfers/") || strings.HasPrefix(path, "/transfers/kushiro/") {
			w.note("not a filing: %s", path)
			return false
		}
		isEncoded := strings.Contains(path, "%2F")
		if isEncoded {
			encoded++
		}
		runs := w.runsOf(id)
		if len(runs) < 2 {
			continue
		}
		w.note("BROKEN: %s POST %s has run %d times: at %s, and %v later at %s", id, path, len(runs), runs[0].server,
			runs[1].at.Sub(runs[0].at).Round(time.Millisecond), runs[1].server)
		if isEncoded {
			twiceEncoded++
		} else {
			twicePlain++
		}
	}
	w.note("TWICE: of %d filings with an encoded slash %d have run more than once, of %d without %d", encoded, twiceEncoded,
		len(paths)-encoded, twicePlain)
	return twiceEncoded+twicePlain == 0
}

// post sends a short filing on a new connection and says how it was answered. It is not sent again, whatever the answer.
func (m *machine) post(id, path string) string {
	c, err := net.DialTimeout("tcp", m.at(portOutgoing), time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	const body = "one filing"
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nTry-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, host, id, deadline.Milliseconds(), len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return err.Error()
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %q, Postmark %q", resp.StatusCode, strings.TrimSpace(string(text)), resp.Header.Get("Postmark"))
}
