package main

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["caps"] = capsCase }

const (
	smallContents = 16 << 20
	pageContents  = 67108864 // contentsBytes in the example of the protocol's page
)

// capsCase: the configuration changes and allows longer bodies, and clients send some that are inside it.
func capsCase(r *run) bool {
	r.start(world{core: 3, order: []string{"lab-sched", "order-desk"}, lines: map[string]int{"lab-sched": 4, "order-desk": 6}})
	config := func(edition, contents int) string {
		text := configOf(edition, []string{"lab-sched", "order-desk"}, route{"/rx/", "safe", "lab-sched", 0.3, 1.2, 2},
			route{"/orders/", "unsafe", "order-desk", 3, 8, 2})
		return strings.Replace(text, `"contentsBytes":67108864`, `"contentsBytes":`+strconv.Itoa(contents), 1)
	}
	r.put(config(7, smallContents))
	r.awaitReady()
	time.Sleep(4 * time.Second)
	length := smallContents - 1<<20
	if r.trouble {
		r.put(config(8, pageContents))
		length = 40 << 20
	}
	time.Sleep(4 * time.Second) // beyond inForceS
	body := bytes.Repeat([]byte("o"), length)
	denied, n := 0, 20
	var mu sync.Mutex
	for i := 0; i < n; i += 4 {
		var tasks sync.WaitGroup
		for j := range 4 {
			tasks.Go(func() {
				t := &try{id: newID(), method: http.MethodPost, path: "/orders/x", body: body, deadline: 8 * time.Second}
				t.do(r.branch[(i+j)%3])
				mu.Lock()
				defer mu.Unlock()
				r.log("client: %v", t)
				if t.status/100 == 4 && t.status != 408 && t.status != 421 && t.status != 429 {
					denied++
				}
			})
		}
		tasks.Wait()
	}
	r.log("%d of %d requests, each %d bytes long, are ended with a 4xx of the system's own", denied, n, length)
	return float64(denied) > 5+float64(n)/500
}
