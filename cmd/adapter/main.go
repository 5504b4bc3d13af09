// Command adapter runs instances of the load balancer's decision module (package balance) for the simulator. It reads
// frames from standard input and writes one reply to each frame to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"firplank/balance"
	"firplank/internal/wire"
	"firplank/settings"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// run replies to frames until the input ends. A malformed frame, or an event for an unknown instance, is an error.
func run(in io.Reader, out io.Writer) error {
	host := host{instances: map[uint16]*balance.Balancer{}}
	reader := wire.NewReader(bufio.NewReaderSize(in, 1<<16))
	for {
		host.reply.Reset()
		err := reader.Read(host.handle)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := host.reply.WriteTo(out); err != nil {
			return err
		}
	}
}

// host holds the instances of this process by number. They share no state. A nil instance is one whose settings are invalid.
type host struct {
	instances map[uint16]*balance.Balancer
	reply     wire.Reply
}

// handle passes one record to its instance and adds the resulting actions to the reply. A panic of the instance is reported in the reply.
func (h *host) handle(clock float64, rec wire.Record) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			h.reply.Fault(rec.Instance, fmt.Sprintf("panic: %v\n%s", panicked, debug.Stack()))
		}
	}()
	switch ev := rec.Event.(type) {
	case wire.Begin:
		parsed, err := settings.Parse(ev.Seed, ev.Settings)
		if err != nil {
			h.instances[rec.Instance] = nil // its further events are ignored
			h.reply.Fault(rec.Instance, err.Error())
			return nil
		}
		b := balance.New(parsed.Balance)
		h.instances[rec.Instance] = b
		h.reply.Add(rec.Instance, b.Start(clock))
	case wire.Killed:
		delete(h.instances, rec.Instance)
	case balance.Event:
		b, known := h.instances[rec.Instance]
		if b == nil && known {
			return nil
		}
		if b == nil {
			return fmt.Errorf("event for instance %d, which was not started", rec.Instance)
		}
		actions, err := b.Handle(clock, ev)
		if err != nil {
			h.reply.Fault(rec.Instance, err.Error())
			return nil
		}
		h.reply.Add(rec.Instance, actions)
	}
	return nil
}
