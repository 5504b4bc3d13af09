package balance_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"

	"firplank/balance"
)

// coder encodes and decodes the inputs and outputs of a Balancer in the format of the recording: big-endian, by position,
// each field in its full width. Both directions use the same methods, so that they can't differ. The order of fields is
// part of the format and must not change, whatever their present names.
type coder struct {
	in  *bytes.Reader // nil: encode to out
	out bytes.Buffer
	err error
}

func (c *coder) word(v uint64, width int) uint64 {
	var b [8]byte
	if c.in == nil {
		binary.BigEndian.PutUint64(b[:], v)
		c.out.Write(b[8-width:])
		return v
	}
	if _, err := io.ReadFull(c.in, b[8-width:]); err != nil && c.err == nil {
		c.err = err
	}
	return binary.BigEndian.Uint64(b[:])
}

func (c *coder) u8(v *uint8)    { *v = uint8(c.word(uint64(*v), 1)) }
func (c *coder) u64(v *uint64)  { *v = c.word(*v, 8) }
func (c *coder) int(v *int)     { *v = int(int32(c.word(uint64(uint32(*v)), 4))) }
func (c *coder) f64(v *float64) { *v = math.Float64frombits(c.word(math.Float64bits(*v), 8)) }

func (c *coder) bool(v *bool) {
	n := uint64(0)
	if *v {
		n = 1
	}
	*v = c.word(n, 1) != 0
}

func (c *coder) bytes(v *[]byte) {
	n := len(*v)
	c.int(&n)
	if c.in == nil {
		c.out.Write(*v)
		return
	}
	if c.err != nil || n > c.in.Len() {
		c.err = io.ErrUnexpectedEOF
		return
	}
	*v = make([]byte, n)
	_, _ = c.in.Read(*v) // from memory; the length is checked above
}

// list codes the length of a list and each of its elements.
func list[T any](c *coder, v *[]T, element func(*T)) {
	n := len(*v)
	c.int(&n)
	if c.in != nil {
		if c.err != nil || n > c.in.Len() {
			c.err = io.ErrUnexpectedEOF
			return
		}
		*v = make([]T, n)
	}
	for i := range *v {
		element(&(*v)[i])
	}
}

// enum codes an enumeration value as one byte.
func enum[T ~uint8](c *coder, v *T) { *v = T(c.word(uint64(*v), 1)) }

func (c *coder) id(v *balance.RequestID)    { *v = balance.RequestID(c.word(uint64(*v), 8)) }
func (c *coder) server(v *balance.ServerID) { *v = balance.ServerID(c.word(uint64(*v), 8)) }

func (c *coder) class(v *balance.Class) {
	enum(c, &v.Effect)
	enum(c, &v.DedupScope)
	for _, f := range []*float64{&v.DedupWindow, &v.LatencyTarget, &v.TargetStretch, &v.Deadline, &v.Value, &v.LateValue, &v.MaxWaitFraction} {
		c.f64(f)
	}
	c.bool(&v.Stream)
}

// config codes all settings except the retry budget, which is an interface.
func (c *coder) config(v *balance.Config) {
	c.u64(&v.Seed)
	for _, n := range []*int{&v.Index, &v.Peers, &v.Zone, &v.MaxAttempts, &v.StreamsPerConn, &v.MaxOpenRequests} {
		c.int(n)
	}
	list(c, &v.Classes, c.class)
	list(c, &v.Tenants, func(t *balance.Tenant) { c.f64(&t.Quota); c.f64(&t.Share) })
	list(c, &v.Fields, func(f *balance.Field) { enum(c, f) })
	enum(c, &v.Reports)
	enum(c, &v.Ratings)
	for _, b := range []*bool{
		&v.ValueByWork, &v.ClientsMarkRetries, &v.Subscribe, &v.ParallelAttempts, &v.Cancel, &v.Probes, &v.Messages, &v.RetryAfter, &v.LastHop,
	} {
		c.bool(b)
	}
	for _, f := range []*float64{
		&v.OverShareValue, &v.MinBatchInterval, &v.MaxRetryAfter, &v.ConnectTimeout, &v.ConnIdle, &v.RetryAfterFraction, &v.DrainGrace,
		&v.SlowStartInitialFraction,
		&v.SlowStartTime, &v.ColdOverloadFactor, &v.ColdOverloadTime, &v.ListRefreshLimit, &v.AnswerSlack,
	} {
		c.f64(f)
	}
	g, p := &v.Goal, &v.Penalties
	for _, f := range []*float64{
		&g.Total, &g.WorstWindow, &g.WorstClass, &g.WorstTenant, &g.Nines,
		&p.CrossZone, &p.Waste, &p.Handshake, &p.Probe, &p.Peer, &p.LateFail, &p.Connection,
	} {
		c.f64(f)
	}
}

func (c *coder) entry(v *balance.Server) {
	c.server(&v.ID)
	enum(c, &v.State)
	c.f64(&v.StartedAt)
	c.f64(&v.Rating)
	c.int(&v.Cell)
	c.int(&v.Zone)
	c.int(&v.Kind)
	c.u64(&v.PathIncarnation)
}

func (c *coder) report(v *[]float32) {
	list(c, v, func(f *float32) { *f = math.Float32frombits(uint32(c.word(uint64(math.Float32bits(*f)), 4))) })
}

// The kinds of steps. The numbers are part of the recording.
const (
	stepStart uint8 = iota
	stepAddClass
	stepList
	stepRequest
	stepOutcome
	stepUploadComplete
	stepResponseStarted
	stepShutdown
	stepClientDisconnected
	stepTimer
	stepProbe
	stepMessage
)

// step is one recorded call of the Balancer: Start, AddClass or Handle with an event.
type step struct {
	kind  uint8
	now   float64
	class balance.Class // of AddClass
	event balance.Event // of Handle
}

func (c *coder) step(v *step) {
	c.u8(&v.kind)
	c.f64(&v.now)
	switch v.kind {
	case stepAddClass:
		c.class(&v.class)
	case stepList:
		event(c, v, c.serverList)
	case stepRequest:
		event(c, v, c.request)
	case stepOutcome:
		event(c, v, c.outcome)
	case stepUploadComplete:
		event(c, v, func(e *balance.UploadComplete) { c.id(&e.Request); c.int(&e.Attempt) })
	case stepResponseStarted:
		event(c, v, func(e *balance.ResponseStarted) {
			c.id(&e.Request)
			c.int(&e.Attempt)
			c.server(&e.Server)
			c.f64(&e.Latency)
		})
	case stepShutdown:
		event(c, v, func(e *balance.Shutdown) { c.f64(&e.Within) })
	case stepClientDisconnected:
		event(c, v, func(e *balance.ClientDisconnected) { c.id(&e.Request) })
	case stepTimer:
		event(c, v, func(e *balance.TimerFired) { c.u64(&e.Token) })
	case stepProbe:
		event(c, v, func(e *balance.ProbeResult) {
			c.server(&e.Server)
			enum(c, &e.Result)
			c.f64(&e.Latency)
			c.report(&e.Report)
		})
	case stepMessage:
		event(c, v, func(e *balance.PeerMessage) { c.int(&e.From); c.bytes(&e.Data) })
	}
}

// event codes a step's event by its type.
func event[T balance.Event](c *coder, v *step, code func(*T)) {
	var e T
	if c.in == nil {
		e = v.event.(T)
	}
	code(&e)
	v.event = e
}

func (c *coder) serverList(e *balance.ServerList) {
	enum(c, &e.Kind)
	c.f64(&e.ZonePreference)
	list(c, &e.Servers, c.entry)
}

func (c *coder) request(e *balance.Request) {
	c.id(&e.ID)
	for _, n := range []*int{&e.Class, &e.Tenant, &e.MaxAttempts} {
		c.int(n)
	}
	c.f64(&e.WorkHint)
	c.u64(&e.Key)
	c.f64(&e.Remaining)
	for _, b := range []*bool{&e.Retry, &e.Write, &e.Upload} {
		c.bool(b)
	}
}

func (c *coder) outcome(e *balance.Outcome) {
	c.id(&e.Request)
	c.int(&e.Attempt)
	c.server(&e.Server)
	enum(c, &e.Result)
	c.f64(&e.Latency)
	for _, b := range []*bool{&e.Finished, &e.BodyConsumed, &e.NotDelivered} {
		c.bool(b)
	}
	c.report(&e.Report)
}

func (c *coder) action(v *balance.Action) {
	enum(c, &v.Kind)
	c.id(&v.Request)
	c.int(&v.Attempt)
	c.server(&v.Server)
	c.f64(&v.At)
	c.u64(&v.Token)
	c.int(&v.Peer)
	c.bytes(&v.Data)
	text := []byte(v.Text)
	c.bytes(&text)
	v.Text = string(text)
	enum(c, &v.Cause)
}

// actions codes the actions of one step.
func (c *coder) actions(v *[]balance.Action) { list(c, v, c.action) }

// recordedRetryBudget is the retry budget of the recording: a tenth of all requests plus two.
type recordedRetryBudget struct{ requests, withdrawn float64 }

// Deposit implements balance.RetryBudget.
func (t *recordedRetryBudget) Deposit(float64) { t.requests++ }

// TryWithdraw implements balance.RetryBudget.
func (t *recordedRetryBudget) TryWithdraw(float64) bool {
	if t.withdrawn+1 > t.requests/10+2 {
		return false
	}
	t.withdrawn++
	return true
}
