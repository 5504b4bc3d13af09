package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"
)

// replyTimeout bounds the wait for a group's answer, and exitTimeout for its end after its input has ended.
const (
	replyTimeout = 60 * time.Second
	exitTimeout  = 10 * time.Second
)

// child is a group's process as the run sees it.
type child struct {
	process  *exec.Cmd
	in       io.WriteCloser
	commands *json.Encoder
	replies  chan Status
	last     Status
}

// startChild starts a process of hollow sidecars. It ends when its input does, so it doesn't outlive this process.
func startChild(ctx context.Context, lab string, spec GroupSpec) (*child, error) {
	c := &child{process: exec.CommandContext(ctx, lab, "hollow"), replies: make(chan Status, 1)}
	c.process.Stderr = os.Stderr
	var err error
	if c.in, err = c.process.StdinPipe(); err != nil {
		return nil, fmt.Errorf("start hollow sidecars: %w", err)
	}
	out, err := c.process.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("start hollow sidecars: %w", err)
	}
	if err := c.process.Start(); err != nil {
		return nil, fmt.Errorf("start hollow sidecars: %w", err)
	}
	go func() {
		defer close(c.replies)
		for lines := json.NewDecoder(out); ; {
			var r Status
			if lines.Decode(&r) != nil {
				return
			}
			c.replies <- r
		}
	}()
	c.commands = json.NewEncoder(c.in)
	if err := c.commands.Encode(spec); err != nil {
		c.stop()
		return nil, fmt.Errorf("start hollow sidecars: %w", err)
	}
	return c, nil
}

// send has the group do something. Its answer is collected by answer.
func (c *child) send(command Command) error {
	if err := c.commands.Encode(command); err != nil {
		return fmt.Errorf("order hollow sidecars: %w", err)
	}
	return nil
}

func (c *child) reply() (Status, error) {
	select {
	case r, ok := <-c.replies:
		if !ok {
			return r, fmt.Errorf("a process of hollow sidecars has ended")
		}
		c.last = r
		return r, nil
	case <-time.After(replyTimeout):
		return Status{}, fmt.Errorf("a process of hollow sidecars doesn't answer within %v", replyTimeout)
	}
}

// end ends the process: by the end of its input, or else by force.
func (c *child) stop() {
	_ = c.in.Close() // where the process has ended already
	done := make(chan struct{})
	go func() {
		for range c.replies { // what was not collected
		}
		_ = c.process.Wait() // killed, or it has ended by itself
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(exitTimeout):
		_ = c.process.Process.Kill() // unless it has ended just now
		<-done
	}
}
