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

// replyTimeout bounds the wait for a group's reply, exitTimeout the wait for its exit after its input was closed.
const (
	replyTimeout = 60 * time.Second
	exitTimeout  = 10 * time.Second
)

// child is the run's handle on the process of a group.
type child struct {
	process  *exec.Cmd
	in       io.WriteCloser
	commands *json.Encoder
	replies  chan Status
	last     Status
}

// startChild starts a process of hollow sidecars. The child exits when its input is closed, so it doesn't outlive this process.
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

// send sends a command to the group. The reply is received by reply.
func (c *child) send(command Command) error {
	if err := c.commands.Encode(command); err != nil {
		return fmt.Errorf("send command to hollow sidecars: %w", err)
	}
	return nil
}

func (c *child) reply() (Status, error) {
	select {
	case r, ok := <-c.replies:
		if !ok {
			return r, fmt.Errorf("process of hollow sidecars has exited")
		}
		c.last = r
		return r, nil
	case <-time.After(replyTimeout):
		return Status{}, fmt.Errorf("no reply from hollow sidecars within %v", replyTimeout)
	}
}

// stop closes the input of the process, and kills the process if it doesn't exit within exitTimeout.
func (c *child) stop() {
	_ = c.in.Close() // fails if the process has already exited
	done := make(chan struct{})
	go func() {
		for range c.replies { // discard replies that were not received
		}
		_ = c.process.Wait() // the exit status is not used
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(exitTimeout):
		_ = c.process.Process.Kill() // fails if the process has just exited
		<-done
	}
}
