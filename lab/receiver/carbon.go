package receiver

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Carbon is a stand-in for Graphite's receiver. It keeps one value for each path and second; a later value replaces an earlier
// one.
type Carbon struct {
	service
	decodeErrors
	pickle bool

	mu              sync.Mutex
	series          map[string]map[int64]float64
	points          int
	repeatedPoints  int // points received again with the same value
	changedPoints   int // points received again with another value
	faultAfterBytes int // bytes after which the next connection is reset or stalls; 0: no fault
	stallAtFault    bool
}

// NewCarbon starts a receiver on loopback, for the pickle protocol or the plaintext protocol.
func NewCarbon(pickled bool) (*Carbon, error) {
	c := &Carbon{pickle: pickled, series: map[string]map[int64]float64{}}
	c.service = service{network: "tcp", addr: "127.0.0.1:0", serve: c.read}
	return c, c.Start()
}

// ResetAfter makes the receiver reset the next connection after a number of bytes, which may be in the middle of a message.
func (c *Carbon) ResetAfter(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultAfterBytes, c.stallAtFault = bytes, false
}

// StallAfter makes the receiver stop reading from the next connection after a number of bytes, and keep it open.
func (c *Carbon) StallAfter(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faultAfterBytes, c.stallAtFault = bytes, true
}

// truncatedConn is a connection whose reads fail after a number of bytes.
type truncatedConn struct {
	net.Conn
	remaining int
}

func (l *truncatedConn) Read(b []byte) (int, error) {
	if l.remaining == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := l.Conn.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

func (c *Carbon) read(conn net.Conn) {
	c.mu.Lock()
	faultAfterBytes, stallAtFault := c.faultAfterBytes, c.stallAtFault
	c.faultAfterBytes = 0
	c.mu.Unlock()
	var from io.Reader = conn
	if faultAfterBytes > 0 {
		from = &truncatedConn{conn, faultAfterBytes}
		if stallAtFault {
			defer c.awaitStop()
		} else {
			defer reset(conn)
		}
	}
	in := bufio.NewReaderSize(from, 64<<10)
	if c.pickle {
		c.readPickles(in)
		return
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil { // an incomplete line is dropped
			return
		}
		if err := c.addLine(strings.TrimSuffix(line, "\n")); err != nil {
			c.record(err)
		}
	}
}

// addLine adds the point of a line "PATH VALUE TIME".
func (c *Carbon) addLine(text string) error {
	parts := strings.Split(text, " ")
	if len(parts) != 3 || parts[0] == "" {
		return fmt.Errorf("%w: line %q", ErrMalformed, text)
	}
	v, err := strconv.ParseFloat(parts[1], 64)
	at, err2 := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || err2 != nil {
		return fmt.Errorf("%w: line %q", ErrMalformed, text)
	}
	return c.addPoint(parts[0], at, v)
}

// maxPickleBytes is the largest pickled list that the receiver accepts.
const maxPickleBytes = 1 << 20

func (c *Carbon) readPickles(in *bufio.Reader) {
	for {
		var size [4]byte
		if _, err := io.ReadFull(in, size[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(size[:])
		if n > maxPickleBytes {
			c.record(fmt.Errorf("%w: a list of %d bytes", ErrMalformed, n))
			return
		}
		text := make([]byte, n)
		if _, err := io.ReadFull(in, text); err != nil {
			return
		}
		list, err := Unpickle(text)
		if err != nil {
			c.record(err)
			continue
		}
		if err := c.addList(list); err != nil {
			c.record(err)
		}
	}
}

// addList adds the points of [(path, (time, value)), ...].
func (c *Carbon) addList(list any) error {
	all, ok := list.([]any)
	for _, p := range all {
		pair, isPair := p.(Tuple)
		if !isPair || len(pair) != 2 {
			return fmt.Errorf("%w: not a point: %v", ErrMalformed, p)
		}
		path, isPath := pair[0].(string)
		point, isPoint := pair[1].(Tuple)
		if !isPath || !isPoint || len(point) != 2 {
			return fmt.Errorf("%w: not a point: %v", ErrMalformed, p)
		}
		at, isTime := point[0].(int64)
		value := 0.0
		switch v := point[1].(type) {
		case int64:
			value = float64(v)
		case float64:
			value = v
		default:
			isTime = false
		}
		if !isTime {
			return fmt.Errorf("%w: point without time or value: %v", ErrMalformed, p)
		}
		if err := c.addPoint(path, at, value); err != nil {
			return err
		}
	}
	if !ok {
		return fmt.Errorf("%w: not a list", ErrMalformed)
	}
	return nil
}

func (c *Carbon) addPoint(path string, at int64, v float64) error {
	if strings.ContainsAny(path, " \n\t()*?[]{}") || strings.HasPrefix(path, ".") || strings.Contains(path, "..") {
		return fmt.Errorf("%w: path %q", ErrMalformed, path)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.series[path] == nil {
		c.series[path] = map[int64]float64{}
	}
	switch old, there := c.series[path][at]; {
	case there && old == v:
		c.repeatedPoints++
	case there:
		c.changedPoints++
	case c.points == maxPoints:
		return fmt.Errorf("%w: more than %d points", ErrMalformed, maxPoints)
	default:
		c.points++
	}
	c.series[path][at] = v
	return nil
}

// Overwritten returns how many points were received again with the same value and with another one.
func (c *Carbon) Overwritten() (same, other int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.repeatedPoints, c.changedPoints
}

// Paths returns the names of all series, sorted.
func (c *Carbon) Paths() (all []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.series {
		all = append(all, p)
	}
	slices.Sort(all)
	return all
}

// Series returns the points of a path, in the order of time.
func (c *Carbon) Series(path string) (all []Point) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for at, v := range c.series[path] {
		all = append(all, Point{time.Unix(at, 0), v})
	}
	slices.SortFunc(all, func(a, b Point) int { return a.At.Compare(b.At) })
	return all
}

// Last returns the latest value of a path; 0 without any.
func (c *Carbon) Last(path string) float64 {
	if all := c.Series(path); len(all) > 0 {
		return all[len(all)-1].Value
	}
	return 0
}

// Sum returns the sum of the values of a path.
func (c *Carbon) Sum(path string) (sum float64) {
	for _, p := range c.Series(path) {
		sum += p.Value
	}
	return sum
}
