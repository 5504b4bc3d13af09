package standin

import (
	"sync"
	"time"

	"firplank/lab/model"
)

// Cell is the memory of keys that a group of servers shares. A repeat that comes while the first is in work waits for it.
type Cell struct {
	mu      sync.Mutex
	memory  *model.Memory
	waiters map[string][]chan<- bool
}

// NewCell returns a cell that remembers nothing.
func NewCell() *Cell { return &Cell{memory: model.NewMemory(), waiters: map[string][]chan<- bool{}} }

// take tells what is known of key. With KeyRunning, ended is sent whether the first ran to its end.
func (c *Cell) claim(now time.Duration, key string, window time.Duration, ended chan<- bool) model.KeyState {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.memory.Take(now, key, window)
	if state == model.KeyRunning {
		c.waiters[key] = append(c.waiters[key], ended)
	}
	return state
}

// finish ends the work on a key: it ran, or broke off. A nil cell remembers nothing.
func (c *Cell) finish(key string, ran bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ran {
		c.memory.Finish(key)
	}
	c.notifyWaiters(key, ran)
}

// forget takes back a key that was turned away. A nil cell remembers nothing.
func (c *Cell) forget(key string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.Forget(key)
	c.notifyWaiters(key, false)
}

func (c *Cell) notifyWaiters(key string, ran bool) {
	for _, w := range c.waiters[key] {
		w <- ran // has room for the one that ever comes
	}
	delete(c.waiters, key)
}
