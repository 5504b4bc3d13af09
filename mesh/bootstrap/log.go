package bootstrap

import (
	"context"
	"io"
	"log/slog"

	kitlog "github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLog returns a logger that writes lines of JSON with a UTC timestamp, and a log/slog logger that writes to it. Both are safe for
// concurrent use. Lines of level debug are only written if debug is set.
func NewLog(w io.Writer, debug bool) (kitlog.Logger, *slog.Logger) {
	allow := level.AllowInfo()
	if debug {
		allow = level.AllowDebug()
	}
	l := kitlog.With(level.NewFilter(kitlog.NewJSONLogger(kitlog.NewSyncWriter(w)), allow), "ts", kitlog.DefaultTimestampUTC)
	return l, slog.New(&slogHandler{logger: l, debug: debug})
}

// slogHandler is a slog.Handler that writes to a go-kit logger.
type slogHandler struct {
	logger kitlog.Logger
	debug  bool
}

// Enabled implements slog.Handler.
func (h *slogHandler) Enabled(_ context.Context, l slog.Level) bool {
	return h.debug || l >= slog.LevelInfo
}

// Handle implements slog.Handler.
func (h *slogHandler) Handle(_ context.Context, r slog.Record) error {
	logger := level.Info(h.logger)
	switch {
	case r.Level >= slog.LevelError:
		logger = level.Error(h.logger)
	case r.Level >= slog.LevelWarn:
		logger = level.Warn(h.logger)
	case r.Level < slog.LevelInfo:
		logger = level.Debug(h.logger)
	}
	fields := []any{"msg", r.Message}
	r.Attrs(func(a slog.Attr) bool {
		fields = append(fields, a.Key, a.Value.String())
		return true
	})
	return logger.Log(fields...)
}

// WithAttrs implements slog.Handler.
func (h *slogHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	var fields []any
	for _, a := range attrs {
		fields = append(fields, a.Key, a.Value.String())
	}
	return &slogHandler{logger: kitlog.With(h.logger, fields...), debug: h.debug}
}

// WithGroup implements slog.Handler. The attributes of a group are written without its name.
func (h *slogHandler) WithGroup(string) slog.Handler { return h }
