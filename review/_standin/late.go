package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// The times of lateBeat, from when the beat is sent that comes late.
const (
	leaveAfter   = 100 * time.Millisecond
	killAfter    = 1200 * time.Millisecond
	backAfter    = 2000 * time.Millisecond
	beatArrives  = 3500 * time.Millisecond
	serverEnds   = 14 * time.Second
	filingsPause = 100 * time.Millisecond
)

// lateBeat has a server leave by Servers.Leave and serve on, as the pages say. With trouble, the beat that it sent just before comes
// seconds late, and meanwhile all processes are killed at the same moment and come back within a second. DRAIN: no request that machines in
// touch have sent on reaches the server later than lastPostS after the acknowledgement.
func lateBeat(w *world) (held bool, err error) {
	if err := w.start(tax, transfer, transfer, transfer); err != nil {
		return false, err
	}
	time.Sleep(inTouch + time.Second)
	leaver := w.branch[1].server
	var mu sync.Mutex
	var arrivals []time.Time
	leaver.arrived = func(string) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 2 {
		clients.Go(func() { keepFiling(w.branch[0], fmt.Sprintf("c%d-", c), stop) })
	}
	time.Sleep(time.Second)
	acked, back, err := leaveAndKill(w, leaver)
	if err == nil {
		time.Sleep(time.Until(acked.Add(serverEnds)))
	}
	close(stop)
	clients.Wait()
	leaver.stop()
	if err != nil {
		return false, err
	}
	mu.Lock()
	defer mu.Unlock()
	return judgeDrain(w, leaver, arrivals, acked, back), nil
}

// leaveAndKill has a server leave, and with trouble plays the disruption, of which ONLY=kill or ONLY=late in the environment leaves one
// half. It returns when the leave was acknowledged, and from when on the
// machines are in touch again; the zero time: they were all the while.
func leaveAndKill(w *world, leaver *server) (acked, inTouchFrom time.Time, err error) {
	late := leaver.nextBeat()
	began := time.Now()
	if !w.trouble {
		w.note("%s sends a beat: %d", leaver.id, leaver.sendBeat(late))
	} else {
		w.note("%s sends a beat, which comes late: %s", leaver.id, late)
	}
	time.Sleep(leaveAfter)
	for range 5 {
		if leaver.leave() == http.StatusOK {
			acked = time.Now()
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if acked.IsZero() {
		return acked, acked, fmt.Errorf("the leave of %s was not acknowledged", leaver.id)
	}
	w.note("the leave of %s is acknowledged; it serves on for %v", leaver.id, serverEnds)
	if !w.trouble {
		return acked, inTouchFrom, nil
	}
	if os.Getenv("ONLY") != "late" {
		if inTouchFrom, err = killAll(w, began); err != nil {
			return acked, inTouchFrom, err
		}
	}
	if os.Getenv("ONLY") != "kill" {
		time.Sleep(time.Until(began.Add(beatArrives)))
		w.note("the late beat of %s arrives: %d", leaver.id, leaver.sendBeat(late))
	}
	return acked, inTouchFrom, nil
}

// killAll kills all processes at the same moment and starts them again within a second. It returns from when on they are in touch again.
func killAll(w *world, began time.Time) (inTouchFrom time.Time, err error) {
	time.Sleep(time.Until(began.Add(killAfter)))
	for _, m := range w.all() {
		go m.kill()
	}
	time.Sleep(100 * time.Millisecond)
	w.note("all processes are killed")
	time.Sleep(time.Until(began.Add(backAfter)))
	for _, m := range w.all() {
		if err := m.start(false); err != nil {
			return inTouchFrom, err
		}
	}
	w.note("all processes are started again")
	return time.Now().Add(inTouch), nil
}

// judgeDrain reports whether DRAIN held.
func judgeDrain(w *world, leaver *server, arrivals []time.Time, acked, inTouchFrom time.Time) bool {
	from, broken := acked.Add(lastPost), 0
	if inTouchFrom.After(from) {
		from = inTouchFrom
	}
	for _, at := range arrivals {
		if at.After(from) {
			broken++
		}
	}
	w.note("DRAIN: from %.3f on, %v after the acknowledgement, when all machines are in touch, %d requests reached %s",
		from.Sub(w.began).Seconds(), from.Sub(acked).Round(time.Millisecond), broken, leaver.id)
	return broken == 0
}

// keepFiling files short owner transfers until it is told to stop.
func keepFiling(at *machine, name string, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(filingsPause):
		}
		at.file(fmt.Sprintf("%s%d", name, i), 512, longPiece, 0)
	}
}
