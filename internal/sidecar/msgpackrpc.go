package sidecar

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"firplank/internal/core"
	rpcfront "firplank/internal/front/msgpackrpc"
	"firplank/internal/loadshed"
	"firplank/internal/options"
	rpcback "firplank/internal/upstream/msgpackrpc"
	codec "firplank/msgpackrpc"
)

// rpcMethods checks the table of methods against the settings; nil without one.
func rpcMethods(o *options.MsgpackRPC, catalog *core.Catalog) (*rpcfront.Methods, error) {
	if !o.Enabled() {
		return nil, nil
	}
	var table []rpcfront.Method
	var errs []error
	for i := range o.Methods {
		m := &o.Methods[i]
		param := func(key string, v any) rpcfront.Param {
			p, err := rpcParam(v)
			if err != nil {
				errs = append(errs, errors.Wrapf(err, "method %q: %s", m.Name, key))
			}
			return p
		}
		table = append(table, rpcfront.Method{
			Name:        m.Name,
			Class:       m.Class,
			Tenant:      m.Tenant,
			TenantParam: param("tenant_param", m.TenantParam),
			Key:         param("key_param", m.KeyParam),
			Idempotency: param("idempotency_param", m.IdempotencyParam),
			Deadline:    param("deadline_param_ms", m.DeadlineParam),
			Trace:       param("trace_param", m.TraceParam),
			Token:       param("token_param", m.TokenParam),
			Retry:       param("repeat_param", m.RepeatParam),
			Path:        m.Path,
			Notify:      m.MayNotify,
		})
	}
	methods, err := rpcfront.NewMethods(table, catalog)
	if err = errors.Join(append(errs, err)...); err != nil {
		return nil, errors.Wrap(err, "options: msgpack_rpc")
	}
	return methods, nil
}

// maxParamPosition bounds the position of a parameter in a call.
const maxParamPosition = 1<<16 - 1

// rpcParam reads where a parameter is found: by position in an array, by key in a map, or nowhere.
func rpcParam(v any) (rpcfront.Param, error) {
	switch v := v.(type) {
	case nil:
		return rpcfront.Param{}, nil
	case int64:
		if v >= 0 && v <= maxParamPosition {
			return rpcfront.AtPosition(int(v)), nil
		}
	case string:
		if v != "" {
			return rpcfront.UnderKey(v), nil
		}
	}
	return rpcfront.Param{}, errors.Errorf("%v is neither a position nor a key", v)
}

func rpcLimits(o *options.MsgpackRPC) codec.Limits {
	return codec.Limits{Frame: o.MaxFrameBytes, Depth: o.MaxDepth}
}

// newRPCBack returns the back for servers that speak MessagePack-RPC.
func newRPCBack(ctx context.Context, cfg *Config, sockets int, idle time.Duration, log *slog.Logger) *rpcback.Backend {
	o := &cfg.Options.MsgpackRPC
	return rpcback.New(ctx, rpcback.Config{
		ConnectTimeout:    cmp.Or(millis(cfg.Balance.ConnectTimeout), defaultConnectTimeout),
		IdleTimeout:       idle,
		MaxConnsPerServer: o.ConnsPerServer,
		MaxConns:          sockets,
		MaxOpenPerConn:    o.MaxOpenPerServerConn,
		Limits:            rpcLimits(o),
		NeverRan:          o.NotStartedCodes,
		ApplicationErrors: o.AnswerCodes,
		Probe:             o.ProbeMethod,
		Log:               log,
	})
}

// newRPCFront returns the front for clients that speak MessagePack-RPC.
func newRPCFront(
	cfg *Config, connections int, shedder *loadshed.Shedder, evict func() bool, exchange *core.Loop, log *slog.Logger,
) *rpcfront.Front {
	o := &cfg.Options.MsgpackRPC
	return rpcfront.New(rpcfront.Config{
		Methods:     cfg.methods,
		Limits:      rpcLimits(o),
		MaxOpen:     o.MaxOpenPerClientConn,
		Connections: connections,
		Shedder:     shedder,
		AcceptGrace: cfg.acceptGrace,
		Evict:       evict,
		Log:         log,
	}, exchange)
}
