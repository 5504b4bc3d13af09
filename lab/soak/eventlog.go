package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// eventLog writes events as JSON lines. Without a writer it drops them. It is safe for concurrent use.
type eventLog struct {
	mu     sync.Mutex
	writer io.Writer
}

// event is one line of the log.
type event struct {
	At    string `json:"at"` // since the start of traffic, in seconds
	Event string `json:"event"`
	What  string `json:"what"`
}

// Event writes an event with its time since the start of traffic.
func (l *eventLog) Event(at time.Duration, name, format string, args ...any) {
	if l.writer == nil {
		return
	}
	line, err := json.Marshal(event{fmt.Sprintf("%.3f", at.Seconds()), name, fmt.Sprintf(format, args...)})
	if err != nil {
		return // not reached: strings can always be encoded
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.writer.Write(append(line, '\n')) // a write error loses no violation: the report contains them
}
