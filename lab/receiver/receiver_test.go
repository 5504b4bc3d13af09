package receiver

import (
	"errors"
	"net"
	"testing"
	"time"
)

// The decoders accept any input or return ErrMalformed, and don't panic.
func FuzzDecoders(f *testing.F) {
	f.Add([]byte("\x80\x02]q\x00(X\x01\x00\x00\x00aJ\x01\x00\x00\x00J\x02\x00\x00\x00\x86\x86e."))
	f.Add([]byte("\x80\x04\x95\x10\x00\x00\x00\x00\x00\x00\x00]\x94(\x8c\x01a\x94K\x01M\x02\x01\x86\x94\x86\x94h\x01\x85e."))
	f.Add([]byte("\x00\x00\x00\x06h\x00\x00\x02\x00\x06p\x00\x00\x04\x00\x06t\x00\x00\x06" +
		"\x00\x0f\x00\x01\x02\x00\x00\x00\x00\x00\x00\x00\x07"))
	f.Add([]byte("\x02\x00\x00\x25aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaau"))
	f.Add([]byte(`PUTVAL "h/p-i/t" interval=10 N:1:2`))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err1 := Unpickle(b)
		_, err2 := Users(nil).Decode(b)
		_, err3 := Users{"u": "p"}.Decode(b)
		_, err4 := ParsePutval(string(b))
		for _, err := range []error{err1, err2, err3, err4} {
			if err != nil && !errors.Is(err, ErrMalformed) {
				t.Fatal(err)
			}
		}
	})
}

// A pickle of protocol 4 with a memo and frames, which other senders write, is decoded.
func TestUnpickleProtocol4(t *testing.T) {
	got, err := Unpickle([]byte("\x80\x04\x95\x19\x00\x00\x00\x00\x00\x00\x00]\x94\x8c\x01a\x94J\xff\xff\xff\xffM\x02\x01\x86\x94\x86\x94a."))
	list, ok := got.([]any)
	if err != nil || !ok || len(list) != 1 {
		t.Fatalf("%v, %v", got, err)
	}
	if p := list[0].(Tuple); p[0] != "a" || p[1].(Tuple)[0] != int64(-1) || p[1].(Tuple)[1] != int64(258) {
		t.Errorf("%v", p)
	}
}

// A receiver that restarts has the same address and still has its points. An incomplete line is dropped.
func TestCarbonRestartKeepsPoints(t *testing.T) {
	c, err := NewCarbon(false)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	send := func(text string) {
		conn, err := net.Dial("tcp", c.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write([]byte(text))
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, _ = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	send("a.b 1 100\na.b 2 110\na.b 3")
	c.Stop()
	if _, err := net.Dial("tcp", c.Addr()); err == nil {
		t.Error("accepts connections while it is stopped")
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	send("a.b 2 110\na.b 7 120\n")
	if same, other := c.Overwritten(); c.Sum("a.b") != 10 || c.Last("a.b") != 7 || same != 1 || other != 0 || len(c.Malformed()) > 0 {
		t.Errorf("sum %v, %d again, %d changed, %v", c.Sum("a.b"), same, other, c.Malformed())
	}
}
