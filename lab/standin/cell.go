package standin

import (
	"sync"
	"time"

	"firplank/lab/model"
)

// Cell is the table of idempotency keys that a group of servers shares. A repeat that arrives while the first request with
// its key is still running waits for that one. Cell is safe for concurrent use.
type Cell struct {
	mu      sync.Mutex
	keys    *model.KeyTable
	waiters map[string][]chan<- bool
}

// NewCell returns an empty cell.
func NewCell() *Cell { return &Cell{keys: model.NewKeyTable(), waiters: map[string][]chan<- bool{}} }

// claim returns the state of key and records a new one for window. With KeyRunning, ended later receives whether the first
// request ran to its end.
func (c *Cell) claim(now time.Duration, key string, window time.Duration, ended chan<- bool) model.KeyState {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.keys.Claim(now, key, window)
	if state == model.KeyRunning {
		c.waiters[key] = append(c.waiters[key], ended)
	}
	return state
}

// finish records that the work on a key ended, either completed (ran) or interrupted. It is a no-op on a nil cell.
func (c *Cell) finish(key string, ran bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ran {
		c.keys.Finish(key)
	}
	c.notifyWaiters(key, ran)
}

// forget removes the key of a request that was rejected. It is a no-op on a nil cell.
func (c *Cell) forget(key string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys.Forget(key)
	c.notifyWaiters(key, false)
}

func (c *Cell) notifyWaiters(key string, ran bool) {
	for _, w := range c.waiters[key] {
		w <- ran // buffered for the single value it receives
	}
	delete(c.waiters, key)
}
