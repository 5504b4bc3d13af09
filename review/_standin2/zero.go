package main

import (
	"net/http"
	"time"
)

func init() { cases["zero"] = zeroCase }

// zeroCase: the first configuration has the lowest version that eight hexadecimal digits can write.
func zeroCase(r *run) bool {
	r.start(world{core: 3, order: []string{"lab-sched", "order-desk"}, lines: map[string]int{"lab-sched": 4, "order-desk": 6}})
	edition := 1
	if r.trouble {
		edition = 0
	}
	config := configOf(edition, []string{"lab-sched", "order-desk"}, route{"/rx/", "safe", "lab-sched", 0.3, 1.2, 2},
		route{"/orders/", "unsafe", "order-desk", 0.4, 1.5, 2})
	r.put(config)
	time.Sleep(8 * time.Second) // inForceS is 2.5, inTouchS 3
	broken := false
	for _, m := range r.core {
		status, body, err := call(http.MethodGet, "http://"+m.addr(portControl)+"/Timetable.Read", nil)
		r.log("operator: Timetable.Read at %s: %d, %.200q, %v", m.name, status, body, err)
		broken = broken || err == nil && status/100 != 5 && string(body) != config
	}
	for i := range 10 {
		t := &try{id: newID(), method: http.MethodGet, path: "/rx/x", deadline: 1200 * time.Millisecond}
		t.do(r.branch[i])
		r.log("client: %v, ready %v", t, r.branch[i].ready())
	}
	return broken
}
