package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicks is the number of clock ticks per second, the unit of processor times in /proc on Linux.
const clockTicks = 100

// Sample is the resource usage of a process since its start, as counted by the kernel.
type Sample struct {
	At      time.Time
	CPU     time.Duration
	RSS     int64 // bytes, at present
	Read    int64 // bytes of all read calls, on sockets and files
	Written int64 // bytes of all write calls
}

// ReadSample reads the counters of a process from /proc.
func ReadSample(pid int) (Sample, error) {
	s := Sample{At: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return s, fmt.Errorf("sample: %w", err)
	}
	if s.CPU, err = cpuOf(string(stat)); err != nil {
		return s, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return s, fmt.Errorf("sample: %w", err)
	}
	s.RSS = field(string(status), "VmRSS:") << 10
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return s, fmt.Errorf("sample: %w", err)
	}
	s.Read, s.Written = field(string(io), "rchar:"), field(string(io), "wchar:")
	return s, nil
}

// cpuOf parses the processor time in the text of /proc/PID/stat. The second field is a name in parentheses that may contain
// any character.
func cpuOf(stat string) (time.Duration, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) < 13 {
		return 0, fmt.Errorf("sample: %q has no processor time", stat)
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("sample: %w", err)
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("sample: %w", err)
	}
	return time.Duration(user+system) * time.Second / clockTicks, nil
}

// field returns the number after a name at the beginning of a line, or 0 if there is none.
func field(text, name string) int64 {
	for line := range strings.Lines(text) {
		rest, ok := strings.CutPrefix(line, name)
		if !ok {
			continue
		}
		if words := strings.Fields(rest); len(words) > 0 {
			n, _ := strconv.ParseInt(words[0], 10, 64)
			return n
		}
	}
	return 0
}

// Usage is the resource usage of a process over a period.
type Usage struct {
	Name     string  `json:"name"`
	Cores    float64 `json:"cores"` // processor seconds per second
	RSS      int64   `json:"rssBytes"`
	ReadS    float64 `json:"readBytesS"`
	WrittenS float64 `json:"writtenBytesS"`
}

// UsageBetween returns the usage from sample a to the later sample b.
func UsageBetween(name string, a, b Sample) Usage {
	s := b.At.Sub(a.At).Seconds()
	return Usage{
		Name:     name,
		Cores:    (b.CPU - a.CPU).Seconds() / s,
		RSS:      b.RSS,
		ReadS:    float64(b.Read-a.Read) / s,
		WrittenS: float64(b.Written-a.Written) / s,
	}
}
