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

// rpcMethods validates the table of methods against the settings. It returns nil if MessagePack-RPC is disabled.
func rpcMethods(opts *options.MsgpackRPC, catalog *core.Catalog) (*rpcfront.Methods, error) {
	if !opts.Enabled() {
		return nil, nil
	}
	var table []rpcfront.Method
	var errs []error
	for i := range opts.Methods {
		m := &opts.Methods[i]
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

// maxParamPosition is the highest configurable position of a parameter in a call.
const maxParamPosition = 1<<16 - 1

// rpcParam parses the location of a parameter: its position in an array, its key in a map, or nil if it is absent.
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

func rpcLimits(opts *options.MsgpackRPC) codec.Limits {
	return codec.Limits{Frame: opts.MaxFrameBytes, Depth: opts.MaxDepth}
}

// newRPCBackend returns the backend for servers that speak MessagePack-RPC.
func newRPCBackend(ctx context.Context, cfg *Config, sockets int, idle time.Duration, log *slog.Logger) *rpcback.Backend {
	opts := &cfg.Options.MsgpackRPC
	return rpcback.New(ctx, rpcback.Config{
		ConnectTimeout:    cmp.Or(millis(cfg.Balance.ConnectTimeout), defaultConnectTimeout),
		IdleTimeout:       idle,
		MaxConnsPerServer: opts.ConnsPerServer,
		MaxConns:          sockets,
		MaxOpenPerConn:    opts.MaxOpenPerServerConn,
		Limits:            rpcLimits(opts),
		NeverRan:          opts.NotStartedCodes,
		ApplicationErrors: opts.AnswerCodes,
		Probe:             opts.ProbeMethod,
		Log:               log,
	})
}

// newRPCFront returns the front for clients that speak MessagePack-RPC.
func newRPCFront(
	cfg *Config, connections int, shedder *loadshed.Shedder, evict func() bool, exchange *core.Loop, log *slog.Logger,
) *rpcfront.Front {
	opts := &cfg.Options.MsgpackRPC
	return rpcfront.New(rpcfront.Config{
		Methods:     cfg.methods,
		Limits:      rpcLimits(opts),
		MaxOpen:     opts.MaxOpenPerClientConn,
		Connections: connections,
		Shedder:     shedder,
		AcceptGrace: cfg.acceptGrace,
		Evict:       evict,
		Log:         log,
	}, exchange)
}
