package msgpackrpc

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/tinylib/msgp/msgp"

	"firplank/balance"
	"firplank/contract"
	"firplank/internal/core"
)

// Param is the place of a value in a request's parameters: a position, or a key of the map that is the first parameter. The zero
// value is no place.
type Param struct {
	set      bool
	position int
	key      string
}

// AtPosition returns the place at a position, from 0.
func AtPosition(pos int) Param { return Param{set: true, position: pos} }

// UnderKey returns the place under a key.
func UnderKey(key string) Param { return Param{set: true, position: -1, key: key} }

// Method configures one method of clients.
type Method struct {
	Name        string
	Class       string
	Tenant      string // of all requests; empty: that of TenantParam
	TenantParam Param
	Key         Param // the object of the request
	Idempotency Param
	Deadline    Param // in milliseconds
	Trace       Param // the trace id; without one the front generates it
	Token       Param
	Retry       Param  // true or above 0 in a client's retry
	Path        string // at HTTP servers; empty: /api/ and the name
	Notify      bool   // accepted as a notification
}

// Methods are the methods that a front accepts, checked against the settings. They are immutable once the front serves, and then
// safe for concurrent use.
type Methods struct {
	Claims  bool // requests carry a contract.Claim; set before the front serves
	catalog *core.Catalog
	byName  map[string]*method
	byPath  map[string]string
}

// method is a Method with its names resolved.
type method struct {
	Method
	class  int
	tenant int
	rules  *balance.Class
}

// maxNameBytes bounds the name of a method.
const maxNameBytes = 256

// NewMethods checks a table of methods. The error joins all faults, each with its method and key.
func NewMethods(table []Method, catalog *core.Catalog) (*Methods, error) {
	ms := &Methods{catalog: catalog, byName: make(map[string]*method, len(table)), byPath: map[string]string{}}
	var all []error
	for _, m := range table {
		if err := ms.add(m); err != nil {
			all = append(all, fmt.Errorf("method %q: %w", m.Name, err))
		}
	}
	return ms, errors.Join(all...)
}

// add checks and adds a method.
func (ms *Methods) add(m Method) error {
	class, ok := ms.catalog.Class(m.Class)
	switch {
	case m.Name == "" || len(m.Name) > maxNameBytes:
		return errors.New("name: want 1 to 256 bytes")
	case ms.byName[m.Name] != nil:
		return errors.New("name: it occurs twice")
	case !ok:
		return fmt.Errorf("class: the settings have no class %q", m.Class)
	}
	known := &method{Method: m, class: class, rules: &ms.catalog.Classes[class]}
	switch {
	case m.Notify && known.rules.Effect != balance.Safe:
		return fmt.Errorf("notify: class %q is not safe to repeat, and the outcome of a notification is not reported", m.Class)
	case known.rules.Effect == balance.Keyed && !m.Idempotency.set:
		return fmt.Errorf("idempotency_param: class %q requires a key", m.Class)
	case m.Tenant != "" && m.TenantParam.set:
		return errors.New("tenant_param: not allowed with a fixed tenant")
	}
	if !m.TenantParam.set {
		if known.tenant, ok = ms.catalog.Tenant(m.Tenant); !ok {
			return fmt.Errorf("tenant: the settings have no tenant %q", m.Tenant)
		}
	}
	if m.Path != "" {
		if m.Path[0] != '/' {
			return fmt.Errorf("path: %q does not begin with a slash", m.Path)
		}
		if other, ok := ms.byPath[m.Path]; ok {
			return fmt.Errorf("path: method %q has the same one", other)
		}
		ms.byPath[m.Path] = m.Name
	}
	ms.byName[m.Name] = known
	return nil
}

// ByPath returns the name of the method with an HTTP path; the path itself where there is none.
func (ms *Methods) ByPath(path string) string {
	if name, ok := ms.byPath[path]; ok {
		return name
	}
	return path
}

// Faults of a request's parameter.
var (
	errMissing      = errors.New("it is missing")
	errDuplicateKey = errors.New("its key is there twice")
	errWrongType    = errors.New("it has the wrong type")
	errNoTenant     = errors.New("there is no such tenant")
)

// find returns the value at the place, with what follows it. params has passed the codec's check: it is complete, and its depth is
// bounded. A key that occurs twice is an error, as neither value can be trusted.
func (p Param) find(params []byte) ([]byte, error) {
	n, rest, err := msgp.ReadArrayHeaderBytes(params)
	if err != nil {
		return nil, errWrongType
	}
	if p.position >= 0 {
		if uint32(p.position) >= n {
			return nil, errMissing
		}
		for range p.position {
			if rest, err = msgp.Skip(rest); err != nil {
				return nil, errWrongType
			}
		}
		return rest, nil
	}
	if n == 0 || msgp.NextType(rest) != msgp.MapType {
		return nil, errMissing
	}
	pairs, rest, err := msgp.ReadMapHeaderBytes(rest)
	if err != nil {
		return nil, errWrongType
	}
	var found []byte
	for range pairs {
		if msgp.NextType(rest) == msgp.StrType {
			key, value, err := msgp.ReadStringZC(rest)
			if err != nil {
				return nil, errWrongType
			}
			if string(key) == p.key {
				if found != nil {
					return nil, errDuplicateKey
				}
				found = value
			}
			rest = value
		} else if rest, err = msgp.Skip(rest); err != nil {
			return nil, errWrongType
		}
		if rest, err = msgp.Skip(rest); err != nil {
			return nil, errWrongType
		}
	}
	if found == nil {
		return nil, errMissing
	}
	return found, nil
}

// text reads a name: a string, bytes, or an integer.
func (p Param) text(params []byte) (string, error) {
	if !p.set {
		return "", errMissing
	}
	b, err := p.find(params)
	if err != nil {
		return "", err
	}
	switch msgp.NextType(b) {
	case msgp.NilType:
		return "", errMissing
	case msgp.StrType:
		v, _, err := msgp.ReadStringBytes(b)
		return v, err
	case msgp.BinType:
		v, _, err := msgp.ReadBytesZC(b)
		return string(v), err
	case msgp.IntType:
		v, _, err := msgp.ReadInt64Bytes(b)
		return strconv.FormatInt(v, 10), err
	case msgp.UintType:
		v, _, err := msgp.ReadUint64Bytes(b)
		return strconv.FormatUint(v, 10), err
	}
	return "", errWrongType
}

// number reads a number; true is 1 and false 0.
func (p Param) number(params []byte) (float64, error) {
	if !p.set {
		return 0, errMissing
	}
	b, err := p.find(params)
	if err != nil {
		return 0, err
	}
	switch msgp.NextType(b) {
	case msgp.NilType:
		return 0, errMissing
	case msgp.IntType, msgp.UintType, msgp.Float32Type, msgp.Float64Type:
		var n msgp.Number
		if _, err := n.UnmarshalMsg(b); err != nil {
			return 0, errWrongType
		}
		v, ok := n.Float()
		if !ok {
			if u, isUint := n.Uint(); isUint {
				v = float64(u)
			} else if i, isInt := n.Int(); isInt {
				v = float64(i)
			}
		}
		return v, nil
	case msgp.BoolType:
		if v, _, err := msgp.ReadBoolBytes(b); err == nil && v {
			return 1, nil
		}
		return 0, nil
	}
	return 0, errWrongType
}

// listenerName is the name of this front in contracts.
const listenerName = "msgpack-rpc"

// fillCall sets the fields of a request from its parameters.
func (ms *Methods) fillCall(c *core.Call, m *method, params []byte) error {
	tenant, tenantName, err := ms.tenantOf(m, params)
	if err != nil {
		return fmt.Errorf("tenant: %w", err)
	}
	object, err := m.Key.text(params)
	if err != nil && !errors.Is(err, errMissing) {
		return fmt.Errorf("key: %w", err)
	}
	key, err := m.idempotencyKey(params)
	if err != nil {
		return fmt.Errorf("idempotency key: %w", err)
	}
	remaining, err := m.timeLeft(params)
	if err != nil {
		return fmt.Errorf("deadline: %w", err)
	}
	if c.Name, err = m.Trace.text(params); err != nil && !errors.Is(err, errMissing) {
		return fmt.Errorf("trace: %w", err)
	}
	if c.Name != "" && !core.IsToken(c.Name) {
		return errors.New("trace: it is no token")
	}
	retry, err := m.Retry.number(params)
	if err != nil && !errors.Is(err, errMissing) {
		return fmt.Errorf("repeat: %w", err)
	}
	if ms.Claims {
		c.Claim = &contract.Claim{Tenant: tenantName, Listener: listenerName}
		if token, err := m.Token.text(params); err == nil {
			c.Claim.Token, c.Claim.HasToken = contract.DigestOf(token), true
		} else if !errors.Is(err, errMissing) {
			return fmt.Errorf("token: %w", err)
		}
	}
	c.Request = balance.Request{Class: m.class, Tenant: tenant, Key: core.ObjectKey(object), Remaining: remaining, Retry: retry > 0}
	c.Message = core.Message{
		Trace:          c.Name,
		Class:          m.Class,
		Tenant:         tenantName,
		Object:         object,
		IdempotencyKey: key,
		Safe:           m.rules.Effect == balance.Safe,
		Method:         m.Name,
		Target:         m.Path,
		ContentType:    core.MessagePack,
		Body:           params,
	}
	return nil
}

// tenantOf returns the number and name of a request's tenant: the method's, or the one in its parameters.
func (ms *Methods) tenantOf(m *method, params []byte) (tenant int, name string, err error) {
	if !m.TenantParam.set {
		return m.tenant, m.Tenant, nil
	}
	if name, err = m.TenantParam.text(params); err != nil {
		return 0, "", err
	}
	tenant, ok := ms.catalog.Tenant(name)
	if !ok {
		return 0, "", errNoTenant
	}
	return tenant, name, nil
}

// idempotencyKey returns the idempotency key of a request; empty where the method has none or doesn't require one.
func (m *method) idempotencyKey(params []byte) (string, error) {
	if !m.Idempotency.set {
		return "", nil
	}
	keyed := m.rules.Effect == balance.Keyed
	key, err := m.Idempotency.text(params)
	if errors.Is(err, errMissing) && !keyed {
		err = nil
	}
	if err == nil && keyed && !core.IsToken(key) {
		err = errors.New("it is no token")
	}
	return key, err
}

// timeLeft returns the time to a request's deadline in milliseconds: the class's, or less by its parameters.
func (m *method) timeLeft(params []byte) (float64, error) {
	remaining, err := m.Deadline.number(params)
	if errors.Is(err, errMissing) {
		return m.rules.Deadline, nil
	}
	if err != nil {
		return 0, err
	}
	if !(remaining >= 0) { // also rejects NaN
		return 0, errors.New("it is no time")
	}
	return min(m.rules.Deadline, remaining), nil
}
