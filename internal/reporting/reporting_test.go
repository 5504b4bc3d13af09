package reporting

import (
	"context"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"

	"firplank/internal/options"
	"firplank/internal/testbed"
	"firplank/lab/receiver"
	"firplank/report"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// process is one process of a sidecar.
type process struct {
	*report.Counts
	*Reporter
	kill  context.CancelFunc
	ended chan bool
}

func startProcess(o *options.File) *process {
	counts := report.New(report.Config{Classes: []report.Class{{Name: "permit.lookup v2", Value: 1}}, Tenants: []string{"a"}})
	ctx, kill := context.WithCancel(context.Background())
	l := &process{Counts: counts, kill: kill, ended: make(chan bool), Reporter: New(Config{
		Counts: counts, Receivers: Receivers(o, "n1", time.Now()), Started: time.Now(), Log: slog.New(slog.DiscardHandler),
	})}
	go func() {
		l.Run(ctx)
		close(l.ended)
	}()
	return l
}

func (l *process) serve(n int) {
	for range n {
		l.RequestReceived(0, 0, false)
		l.RequestEnded(0, 0, report.Served, time.Millisecond)
	}
}

// A sidecar is killed in the middle of an interval and restarted. No series may show more requests than were served, values
// already sent must stay, and only counts of the unfinished interval may be missing.
func TestKilledInMidInterval(t *testing.T) {
	carbon, err := receiver.NewCarbon(true)
	if err != nil {
		t.Fatal(err)
	}
	defer carbon.Stop()
	socket, err := receiver.NewSocket(filepath.Join(t.TempDir(), "collectd"))
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Stop()
	o, err := options.Parse("o.toml", []byte("[graphite]\ninterval_s = 1\nprefix = \"f\"\nprotocol = \"pickle\"\naddress = \""+carbon.Addr()+
		"\"\n[collectd]\ninterval_s = 1\nhost = \"h\"\nunix_socket = \""+socket.Addr()+"\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	const path, id = "f.requests.permit%2Elookup%20v2.served.", "h/firplank-permit%2Elookup%20v2/firplank_requests"
	first := startProcess(o)
	first.serve(100)
	testbed.Until(t, "the first process is reported", func() bool { return carbon.Last(path+"total") == 100 && socket.Last(id, 1) == 100 })
	first.serve(5) // lost with the process
	first.kill()
	<-first.ended
	second := startProcess(o)
	defer func() {
		second.kill()
		<-second.ended
	}()
	second.serve(30)
	testbed.Until(t, "the second process is reported", func() bool { return carbon.Last(path+"total") == 30 && socket.Last(id, 1) == 30 })
	second.serve(7)
	second.Flush(10 * time.Second)
	testbed.Until(t, "its last interval arrives", func() bool { return carbon.Last(path+"total") == 37 && socket.Last(id, 1) == 37 })
	if got := carbon.Sum(path + "count"); got != 137 && got != 142 {
		t.Errorf("the intervals' counts add up to %v", got)
	}
	if got := socket.DeriveGrowth(id, 1); got > 142-30 {
		t.Errorf("spike: growth of %v in collectd", got)
	}
	if _, other := carbon.Overwritten(); other > 0 || socket.TooOld() > 0 {
		t.Errorf("%d points overwritten, %d values too old", other, socket.TooOld())
	}
}

// With an unreachable receiver, Flush returns in time and the log names the lost intervals.
func TestUnreachableReceiver(t *testing.T) {
	o, err := options.Parse("o.toml", []byte("[graphite]\ninterval_s = 3600\naddress = \"127.0.0.1:1\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	log := &testbed.LogBuffer{}
	r := New(Config{
		Counts: report.New(report.Config{}), Receivers: Receivers(o, "n1", time.Now()), Log: slog.New(slog.NewTextHandler(log, nil)),
	})
	ended := make(chan bool)
	go func() {
		r.Run(context.Background())
		close(ended)
	}()
	r.Flush(50 * time.Millisecond)
	<-ended
	if !log.Contains("a receiver cannot be reached") || !log.Contains("intervals are lost with the process") {
		t.Error("expected messages are missing in the log")
	}
}
