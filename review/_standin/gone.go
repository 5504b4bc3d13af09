package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// scansTimetable has a route for downloads and one for lookups, with the aims and deadlines of cert-scan and plate-history at hvr-mesh.
const scansTimetable = `{"edition":"00000001","caps":{"envelopeBytes":16384,"contentsBytes":67108864,"envelopeS":3,"idleS":15},
 "gates":[{"depot":"plates.example","regulations":[
  {"name":"cert-scan","routeKind":"download","targetS":0.6,"precedence":2,"sorting":{"lanePrefix":"/scan/"},
   "dispatch":{"line":"transfer-svc","deadlineS":2.5,"attempts":2}},
  {"name":"plate-history","routeKind":"safe","targetS":0.8,"precedence":2,"sorting":{"lanePrefix":"/history/"},
   "dispatch":{"line":"tax-svc","deadlineS":3,"attempts":2}}]}],
 "fleets":[{"name":"transfer-svc","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false},
  {"name":"tax-svc","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}]}`

// What servers do in gone: they find a scan, send the first part of it, and go on to the rest; a lookup is answered at its end.
const (
	goneEach      = 32                      // requests of each kind
	scanBytes     = 300 << 10               // of a scan; hvr-mesh has up to 540 kB
	scanFirst     = 100 << 10               // of it at once
	scanWork      = 1800 * time.Millisecond // on the rest, and on a lookup
	giveUp        = 300 * time.Millisecond  // after which a client leaves: half of the aim of a scan
	stillAtWork   = 500 * time.Millisecond  // after the close has reached the sidecar, by GONE
	closeMargin   = 100 * time.Millisecond  // for the close to reach the sidecar, and for the stand-ins' own clocks
	goneRatioPart = 4                       // more than one in so many breaks the rule
)

// gone has clients ask for scans and for lookups. With trouble every second client leaves before it has its answer. GONE: half a second after their
// clients have left, servers are still at work on a quarter of the repeatable requests at most.
func gone(w *world) (held bool, err error) {
	w.timetable = scansTimetable
	if err := w.start(tax, transfer, transfer, tax); err != nil {
		return false, err
	}
	var mu sync.Mutex
	leftAt, ended := map[string]time.Time{}, map[string]time.Time{}
	for _, m := range w.branch {
		s := m.server
		s.workFor = func(c net.Conn, r *http.Request) bool {
			id := r.Header.Get("Try-Id")
			rest := scanBytes
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nTry-Id: %s\r\nPostmark: %s.%s\r\nContent-Length: %d\r\n\r\n", id, s.id, id, scanBytes)
			if m.line == transfer {
				_, _ = c.Write(append([]byte(head), make([]byte, scanFirst)...))
				head, rest = "", scanBytes-scanFirst
			}
			began := time.Now()
			closed := closedWithin(c, scanWork)
			mu.Lock()
			ended[id] = time.Now()
			mu.Unlock()
			if closed {
				w.note("%s drops %s: its connection was closed after %v of work", s.id, id, time.Since(began).Round(time.Millisecond))
				return false
			}
			w.note("%s has worked on %s to the end", s.id, id)
			_, err := c.Write(append([]byte(head), make([]byte, rest)...))
			return err == nil
		}
	}
	time.Sleep(inTouch + time.Second)
	var clients sync.WaitGroup
	for i := range 2 * goneEach {
		m := w.branch[i%len(w.branch)]
		id, path := fmt.Sprintf("scan%d", i), "/scan/"
		if i%2 == 1 {
			id, path = fmt.Sprintf("lookup%d", i), "/history/"
		}
		leaves := w.trouble && i/2%2 == 0
		clients.Go(func() {
			if at, left := m.ask(id, path, leaves); left {
				mu.Lock()
				leftAt[id] = at
				mu.Unlock()
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(scanWork + time.Second)
	scans, lookups := 0, 0
	for id, at := range leftAt {
		if over := ended[id].Sub(at); over > stillAtWork+closeMargin {
			w.note("a server was at work on %s for %v after its client had left", id, over.Round(time.Millisecond))
			if strings.HasPrefix(id, "scan") {
				scans++
			} else {
				lookups++
			}
		}
	}
	w.note("GONE: clients left %d requests; half a second later servers were at work on %d scans and %d lookups of them", len(leftAt), scans, lookups)
	return (scans+lookups)*goneRatioPart <= len(leftAt), nil
}

// closedWithin reports whether the other side closes a connection within a time.
func closedWithin(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// ask sends a request on a new connection. A client that leaves does so after giveUp, and ask returns when.
func (m *machine) ask(id, path string, leaves bool) (at time.Time, left bool) {
	c, err := net.DialTimeout("tcp", m.at(portOutgoing), time.Second)
	if err != nil {
		m.world.note("client at %s: %s: %v", m.name, id, err)
		return at, false
	}
	defer func() { _ = c.Close() }()
	wait := deadline
	if leaves {
		wait = giveUp
	}
	_ = c.SetDeadline(time.Now().Add(wait))
	fmt.Fprintf(c, "GET %s%s HTTP/1.1\r\nHost: %s\r\nTry-Id: %s\r\nDeadline-Ms: 2500\r\n\r\n", path, id, host, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	n := int64(0)
	if err == nil {
		n, err = io.Copy(io.Discard, resp.Body)
	}
	if err == nil {
		m.world.note("client at %s: %s is answered %d with %d bytes", m.name, id, resp.StatusCode, n)
		return at, false
	}
	_ = c.Close()
	m.world.note("client at %s leaves %s after %d bytes: %v", m.name, id, n, err)
	return time.Now(), leaves
}
