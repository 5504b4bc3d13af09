package catchup

import (
	"bytes"
	"time"

	"firplank/mesh/codec"
	"firplank/mesh/register"
	"firplank/mesh/wire"
)

const (
	// A message is delayed by minDelay and up to delaySpread more, uniformly distributed.
	minDelay    = time.Millisecond
	delaySpread = 3 * time.Millisecond
)

// Send implements persistence.Sink, over a link that delays and reorders messages, and loses or duplicates a few.
func (m *machine) Send(msg *register.Message) {
	if m.plan.Defect.drops(m, msg) {
		return
	}
	frame := wire.Encode(codec.RegisterToFrame(msg))
	copies := m.plan.Defect.copies(msg)
	switch m.rng.IntN(100) {
	case 0:
		copies = 0
	case 1:
		copies++
	}
	to := m.machineNamed(msg.To)
	for range copies {
		spread := time.Duration(m.rng.IntN(int(delaySpread/time.Microsecond))) * time.Microsecond
		m.after(minDelay+spread, func() { to.receive(frame) })
	}
}

func (m *machine) receive(frame []byte) {
	if !m.isUp() {
		return
	}
	f, err := wire.ReadFrame(bytes.NewReader(frame))
	if err != nil {
		m.history.fail("cannot read a frame: %v", err)
		return
	}
	msg, ok := codec.RegisterFromFrame(f)
	if !ok {
		m.history.fail("unexpected frame of kind %d", f.Kind)
		return
	}
	msg.To = m.name
	body := 0
	if msg.Value != nil {
		body = len(msg.Value.Body)
	}
	m.history.received(m.name, len(frame), body)
	m.apply(register.MessageReceived{Message: msg})
}
