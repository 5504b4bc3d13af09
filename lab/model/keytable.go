package model

import "time"

// KeyState is the state of an idempotency key in a cell.
type KeyState int

// The states of a key.
const (
	KeyNew     KeyState = iota // not seen within the window: the request runs
	KeyRunning                 // its first request is still running: the repeat waits for it
	KeyDone                    // its request has run: the repeat gets the same response without running
)

// KeyTable holds the idempotency keys of the servers of one cell. A key is held for its window, counted from its first
// request. Expired keys are removed when the table has doubled since the last sweep, so that its size is bounded by the
// requests of a window. It is not safe for concurrent use.
type KeyTable struct {
	keys      map[string]*keyEntry
	sweepSize int // size at which expired keys are next removed
}

type keyEntry struct {
	until time.Duration
	done  bool
}

// NewKeyTable returns an empty table.
func NewKeyTable() *KeyTable { return &KeyTable{keys: map[string]*keyEntry{}, sweepSize: 1024} }

// Claim returns the state of key at now, and records a new key for window.
func (m *KeyTable) Claim(now time.Duration, key string, window time.Duration) KeyState {
	if r := m.keys[key]; r != nil && now < r.until {
		if r.done {
			return KeyDone
		}
		return KeyRunning
	}
	if len(m.keys) >= m.sweepSize {
		for k, r := range m.keys {
			if now >= r.until {
				delete(m.keys, k)
			}
		}
		m.sweepSize = max(1024, 2*len(m.keys))
	}
	m.keys[key] = &keyEntry{until: now + window}
	return KeyNew
}

// Finish records that the request of key has run.
func (m *KeyTable) Finish(key string) {
	if r := m.keys[key]; r != nil {
		r.done = true
	}
}

// Forget removes a key whose request was rejected and never ran.
func (m *KeyTable) Forget(key string) { delete(m.keys, key) }

// Len returns the number of keys held, expired ones included.
func (m *KeyTable) Len() int { return len(m.keys) }
