// Package wire converts between the binary frames of the simulator and the types of package balance. It makes no
// decisions.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"firplank/balance"
)

// Event codes.
const (
	codeServerTable        = 1000
	codeRequest            = 1010
	codeTimerFired         = 1020
	codeResponseStarted    = 1030
	codeServerList         = 1040
	codePeerMessage        = 1050
	codeKilled             = 1060
	codeBegin              = 1070
	codeProbeResult        = 1080
	codeOutcome            = 1090
	codeClientDisconnected = 1100
)

const (
	headerBytes   = 16
	entryBytes    = 23
	maxFrameBytes = 1 << 28 // far above any batch of the simulator
	maxTables     = 16
)

var results = map[uint16]balance.Result{
	0: balance.OK, 13: balance.Failed, 8: balance.Rejected, 4: balance.TimedOut,
	14: balance.ConnectFailed, 10: balance.Reset, 1: balance.Cancelled, 9: balance.NotSent,
}

// Begin starts an instance. Settings is the JSON object for settings.Parse.
type Begin struct {
	Seed     uint64
	Settings []byte
}

// Killed reports that an instance was killed.
type Killed struct{}

// Record is one event for one instance. Event is a Begin, a Killed or a balance.Event.
type Record struct {
	Instance uint16
	Event    any
}

// Reader reads frames. Server tables are kept from one frame to the next.
type Reader struct {
	in            io.Reader
	buf           bytes.Buffer
	tables        [maxTables][]balance.Server
	tableReceived [maxTables]bool
	report        []float32
}

// NewReader returns a reader of the frames in in, which should be buffered.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Read reads the next frame and calls handle for each event, in order, with the clock of the frame. It returns io.EOF if
// the input ends between frames, and no other error that wraps io.EOF. Slices in events are valid during the call only.
func (r *Reader) Read(handle func(clock float64, rec Record) error) error {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r.in, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return fmt.Errorf("read frame header: %w", err)
	}
	count := binary.BigEndian.Uint32(head[0:])
	size := binary.BigEndian.Uint32(head[4:])
	clock := math.Float64frombits(binary.BigEndian.Uint64(head[8:]))
	if size < headerBytes || size > maxFrameBytes {
		return fmt.Errorf("frame length %d: want %d to %d", size, headerBytes, maxFrameBytes)
	}
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return fmt.Errorf("frame clock is %v", clock)
	}
	r.buf.Reset()
	// The buffer grows with the bytes received, not with the announced length.
	if n, err := io.CopyN(&r.buf, r.in, int64(size-headerBytes)); err != nil {
		if errors.Is(err, io.EOF) { // io.EOF is only for an end between frames
			err = io.ErrUnexpectedEOF
		}
		return fmt.Errorf("frame of %d bytes ends after %d: %w", size, n+headerBytes, err)
	}
	f := decoder{data: r.buf.Bytes()}
	for i := uint32(0); i < count; i++ {
		start := f.pos
		rec, err := r.readRecord(&f)
		if err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i, start+headerBytes, err)
		}
		if rec.Event == nil {
			continue
		}
		if err := handle(clock, rec); err != nil {
			return fmt.Errorf("record %d at byte %d: %w", i, start+headerBytes, err)
		}
	}
	if f.pos != len(f.data) {
		return fmt.Errorf("%d bytes after the last of %d records", len(f.data)-f.pos, count)
	}
	return nil
}

func (r *Reader) readRecord(f *decoder) (Record, error) {
	code, first := f.u16(), f.u16()
	if f.truncated {
		return Record{}, errTruncated
	}
	rec := Record{Instance: first}
	var err error
	switch code {
	case codeServerTable:
		err = r.readServerTable(f, first)
	case codeBegin:
		seed := f.u64()
		rec.Event = Begin{Seed: seed, Settings: f.bytes(f.u32())}
	case codeKilled:
		rec.Event = Killed{}
	case codeServerList:
		rec.Event, err = r.readServerList(f)
	case codeRequest:
		rec.Event = readRequest(f)
	case codeTimerFired:
		rec.Event = balance.TimerFired{Token: f.u64()}
	case codeResponseStarted:
		ev := balance.ResponseStarted{Request: balance.RequestID(f.u64()), Attempt: int(f.u8()), Server: f.server()}
		ev.Latency = f.f64()
		rec.Event = ev
	case codeOutcome:
		rec.Event, err = r.readOutcome(f)
	case codeClientDisconnected:
		rec.Event = balance.ClientDisconnected{Request: balance.RequestID(f.u64())}
	case codeProbeResult:
		rec.Event, err = r.readProbeResult(f)
	case codePeerMessage:
		from := int(f.u16())
		rec.Event = balance.PeerMessage{From: from, Data: f.bytes(uint32(f.u16()))}
	default:
		return rec, fmt.Errorf("unknown event code %d", code)
	}
	if err == nil && f.truncated {
		err = errTruncated
	}
	if err != nil {
		return rec, fmt.Errorf("event code %d: %w", code, err)
	}
	return rec, nil
}

func (r *Reader) readServerTable(f *decoder, table uint16) error {
	if table >= maxTables {
		return fmt.Errorf("server table %d: want 0 to %d", table, maxTables-1)
	}
	n := f.u32()
	if uint64(n)*entryBytes > uint64(len(f.data)-f.pos) {
		return fmt.Errorf("%d entries: %w", n, errTruncated)
	}
	list := make([]balance.Server, n)
	for i := range list {
		s := &list[i]
		s.StartedAt = f.f64()
		switch state := f.u8(); state {
		case 0:
			s.State = balance.Ready
		case 2:
			s.State = balance.Draining
		case 1:
			s.State = balance.Gone
		default:
			return fmt.Errorf("entry %d: unknown state %d", i, state)
		}
		s.ID = f.server()
		s.Rating = float64(f.f32())
		s.Cell, s.Zone, s.Kind = int(f.u16()), int(f.u8()), int(f.u8())
	}
	r.tables[table], r.tableReceived[table] = list, true
	return nil
}

func (r *Reader) readServerList(f *decoder) (any, error) {
	kind, _, table := f.u8(), f.u32(), f.u16()
	if f.truncated {
		return nil, errTruncated
	}
	ev := balance.ServerList{}
	switch kind {
	case 0:
		ev.Kind = balance.ListFull
	case 1:
		ev.Kind = balance.ListCached
	case 3:
		ev.Kind = balance.ListDelta
	case 2:
		return balance.ServerList{Kind: balance.ListFailed}, nil
	default:
		return nil, fmt.Errorf("unknown list kind %d", kind)
	}
	if table >= maxTables || !r.tableReceived[table] {
		return nil, fmt.Errorf("server table %d was not received", table)
	}
	ev.Servers = r.tables[table]
	return ev, nil
}

func readRequest(f *decoder) balance.Request {
	ev := balance.Request{ID: balance.RequestID(f.u64()), Tenant: int(f.u16())}
	hint, flags := f.f64(), f.u16()
	if flags&1 != 0 {
		ev.WorkHint = hint
	}
	ev.Retry, ev.Write = flags&2 != 0, flags&4 != 0
	ev.Key, ev.Remaining = f.u64(), f.f64()
	ev.Class = int(f.u16())
	return ev
}

func (r *Reader) readOutcome(f *decoder) (any, error) {
	ev := balance.Outcome{Request: balance.RequestID(f.u64()), Attempt: int(f.u8()), Server: f.server()}
	code := f.u16()
	ev.Latency, ev.Finished = f.f64(), f.u8() != 0
	ev.Report = r.readFloats(f)
	var err error
	ev.Result, err = readResult(code, f)
	return ev, err
}

func (r *Reader) readProbeResult(f *decoder) (any, error) {
	ev := balance.ProbeResult{Latency: f.f64()}
	code := f.u16()
	ev.Server, ev.Report = f.server(), r.readFloats(f)
	var err error
	ev.Result, err = readResult(code, f)
	return ev, err
}

func readResult(code uint16, f *decoder) (balance.Result, error) {
	res, ok := results[code]
	if !ok && !f.truncated {
		return 0, fmt.Errorf("unknown result %d", code)
	}
	return res, nil
}

func (r *Reader) readFloats(f *decoder) []float32 {
	r.report = r.report[:0]
	for n := f.u8(); n > 0; n-- {
		r.report = append(r.report, f.f32())
	}
	return r.report
}

var errTruncated = errors.New("record exceeds the frame")

// decoder reads values from a frame. A read past the end sets truncated and returns zero.
type decoder struct {
	data      []byte
	pos       int
	truncated bool
}

func (f *decoder) bytes(n uint32) []byte {
	if uint64(n) > uint64(len(f.data)-f.pos) {
		f.truncated, f.pos = true, len(f.data)
		return nil
	}
	f.pos += int(n)
	return f.data[f.pos-int(n) : f.pos : f.pos]
}

func (f *decoder) u8() uint8 {
	if b := f.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *decoder) u16() uint16 {
	if b := f.bytes(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (f *decoder) u32() uint32 {
	if b := f.bytes(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (f *decoder) u64() uint64 {
	if b := f.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// f64 reads a float64. NaN and infinities count as absent and are returned as 0.
func (f *decoder) f64() float64 {
	v := math.Float64frombits(f.u64())
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

func (f *decoder) f32() float32 {
	v := math.Float32frombits(f.u32())
	if v != v || math.IsInf(float64(v), 0) {
		return 0
	}
	return v
}

// server reads an address of four bytes and a port, and packs them into a ServerID.
func (f *decoder) server() balance.ServerID {
	host := f.u32()
	return balance.ServerID(uint64(host)<<16 | uint64(f.u16()))
}
