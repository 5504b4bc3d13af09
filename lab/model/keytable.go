package model

import "time"

// KeyState is what a cell knows of a key.
type KeyState int

// The states of a key.
const (
	KeyNew     KeyState = iota // not seen within the window: it runs
	KeyRunning                 // its first request is in work: the repeat waits for that
	KeyDone                    // it has run: the repeat gets the same answer and nothing runs
)

// Memory is what the servers of one cell remember of keyed requests. A key is remembered for its window, counted from
// the first request that ran; the table is swept as it grows, and holds what came within one window at most. It is not
// safe for concurrent use.
type KeyTable struct {
	keys      map[string]*keyEntry
	sweepSize int // the size at which the table is next swept
}

type keyEntry struct {
	until time.Duration
	done  bool
}

// NewMemory returns an empty memory.
func NewKeyTable() *KeyTable { return &KeyTable{keys: map[string]*keyEntry{}, sweepSize: 1024} }

// Take tells what is known of key at now, and remembers a new one for window.
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

// Finish says that the request of key has run.
func (m *KeyTable) Finish(key string) {
	if r := m.keys[key]; r != nil {
		r.done = true
	}
}

// Forget takes back a key whose request was turned away and never ran.
func (m *KeyTable) Forget(key string) { delete(m.keys, key) }

// Len returns how many keys are held.
func (m *KeyTable) Len() int { return len(m.keys) }
