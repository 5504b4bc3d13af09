package wire

import (
	"encoding/binary"
	"io"
	"math"

	"firplank/balance"
)

// Action codes.
const (
	codeSend         = 1000
	codeRefuse       = 1010
	codeFail         = 1020
	codeCancel       = 1030
	codeTimer        = 1040
	codeProbe        = 1050
	codeCloseIdle    = 1060
	codeSendMessage  = 1070
	codeLog          = 1080
	codeFault        = 1090
	codeSubscribe    = 1100
	codeFetchList    = 1110
	allPeers         = 0xffffffff
	maxTextBytes     = 0xffff
	replyHeaderBytes = 4
)

// Reply collects the actions that respond to one frame.
type Reply struct{ buf []byte }

// Reset starts an empty reply, with room for its header.
func (r *Reply) Reset() { r.buf = append(r.buf[:0], 0, 0, 0, 0) }

// WriteTo writes the reply as one frame.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.BigEndian.PutUint32(r.buf, uint32(len(r.buf)))
	n, err := w.Write(r.buf)
	return int64(n), err
}

// Add appends actions of one instance.
func (r *Reply) Add(instance uint16, actions []balance.Action) {
	for i := range actions {
		r.appendAction(instance, &actions[i])
	}
}

// Fault reports that the decision code of an instance failed.
func (r *Reply) Fault(instance uint16, text string) {
	r.appendHeader(codeFault, instance)
	r.appendText([]byte(text))
}

func (r *Reply) appendAction(instance uint16, a *balance.Action) {
	switch a.Kind {
	case balance.Send:
		r.appendHeader(codeSend, instance)
		r.u64(uint64(a.Request))
		r.f64(a.At)
		r.server(a.Server)
	case balance.Refuse:
		r.appendHeader(codeRefuse, instance)
		r.u64(uint64(a.Request))
		r.f64(a.At)
	case balance.Fail:
		r.appendHeader(codeFail, instance)
		r.u64(uint64(a.Request))
	case balance.Cancel:
		r.appendHeader(codeCancel, instance)
		r.u64(uint64(a.Request))
		r.buf = append(r.buf, uint8(a.Attempt))
	case balance.SetTimer:
		r.appendHeader(codeTimer, instance)
		r.u64(a.Token)
		r.f64(a.At)
	case balance.Probe:
		r.appendHeader(codeProbe, instance)
		r.server(a.Server)
	case balance.CloseIdle:
		r.appendHeader(codeCloseIdle, instance)
		r.server(a.Server)
	case balance.SendMessage:
		r.appendHeader(codeSendMessage, instance)
		peer := uint32(allPeers)
		if a.Peer >= 0 {
			peer = uint32(a.Peer)
		}
		r.buf = binary.BigEndian.AppendUint32(r.buf, peer)
		r.appendText(a.Data)
	case balance.Log:
		r.appendHeader(codeLog, instance)
		r.appendText([]byte(a.Text))
	case balance.Subscribe:
		r.appendHeader(codeSubscribe, instance)
		r.buf = append(r.buf, 1)
	case balance.FetchList:
		r.appendHeader(codeFetchList, instance)
	}
}

func (r *Reply) appendHeader(code, instance uint16) {
	r.buf = binary.BigEndian.AppendUint16(r.buf, code)
	r.buf = binary.BigEndian.AppendUint16(r.buf, instance)
}

func (r *Reply) u64(v uint64)  { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

func (r *Reply) server(id balance.ServerID) {
	r.buf = binary.BigEndian.AppendUint32(r.buf, uint32(id>>16))
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(id))
}

func (r *Reply) appendText(b []byte) {
	if len(b) > maxTextBytes {
		b = b[:maxTextBytes]
	}
	r.buf = binary.BigEndian.AppendUint16(r.buf, uint16(len(b)))
	r.buf = append(r.buf, b...)
}
