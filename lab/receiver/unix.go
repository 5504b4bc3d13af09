package receiver

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// Socket is a stand-in for collectd's Unix socket. It supports the command PUTVAL only.
type Socket struct {
	service
	Values
}

// NewSocket starts a socket at a path.
func NewSocket(path string) (*Socket, error) {
	s := &Socket{}
	s.service = service{network: "unix", addr: path, serve: s.read}
	return s, s.Start()
}

func (s *Socket) read(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		answer := "0 Success: 1 value has been dispatched.\n"
		l, err := ParsePutval(strings.TrimSuffix(line, "\n"))
		if err != nil {
			s.record(err)
		} else {
			err = s.add(*l)
		}
		if err != nil {
			answer = "-1 " + err.Error() + "\n"
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// ParsePutval parses a PUTVAL command: PUTVAL "IDENTIFIER" [interval=SECONDS] TIME:VALUE[:VALUE...].
func ParsePutval(line string) (*ValueList, error) {
	bad := func(what string) error { return fmt.Errorf("%w: %s in %q", ErrMalformed, what, line) }
	rest, ok := strings.CutPrefix(line, "PUTVAL ")
	if !ok {
		return nil, bad("no command")
	}
	l := &ValueList{}
	if rest, ok = strings.CutPrefix(rest, `"`); ok {
		l.ID, rest, ok = strings.Cut(rest, `" `)
	} else {
		l.ID, rest, ok = strings.Cut(rest, " ")
	}
	if !ok || strings.Count(l.ID, "/") != 2 {
		return nil, bad("no identifier")
	}
	words := strings.Fields(rest)
	if len(words) == 0 {
		return nil, bad("no values")
	}
	for _, option := range words[:len(words)-1] {
		text, ok := strings.CutPrefix(option, "interval=")
		v, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			return nil, bad("an option")
		}
		l.Interval = time.Duration(v * float64(time.Second))
	}
	parts := strings.Split(words[len(words)-1], ":")
	at, err := strconv.ParseFloat(parts[0], 64)
	if err != nil || len(parts) < 2 {
		return nil, bad("a time")
	}
	l.At = time.UnixMilli(int64(at * 1000))
	for _, text := range parts[1:] {
		v, err := strconv.ParseFloat(text, 64)
		if text == "U" {
			v, err = 0, nil
		}
		if err != nil {
			return nil, bad("a value")
		}
		l.Values = append(l.Values, v)
	}
	return l, nil
}
