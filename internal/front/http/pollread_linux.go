package http

// This file reads a request from a polled connection.

import (
	"net"
	"net/netip"
	"strconv"

	"golang.org/x/sys/unix"

	"firplank/internal/core"
	"firplank/internal/httpwire"
	"firplank/internal/poller"
)

// Ready handles what the kernel says of the connection, on the poller's goroutine. What is for the exchange is handed over
// when no lock is held: the exchange may be waiting for that lock.
func (c *pollConn) Ready(events uint32) {
	c.mu.Lock()
	if c.state == pollWriting && events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		c.flush()
	}
	var arrive, leave *pollCall
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		arrive, leave = c.read(events&poller.PeerClosed != 0)
	}
	c.mu.Unlock()
	if arrive != nil {
		exchangeOf(&arrive.Call, c.front.exchange).Submit(&arrive.Call)
	}
	if leave != nil {
		exchangeOf(&leave.Call, c.front.exchange).Disconnect(&leave.Call)
	}
}

// read reads all there is. ended says that the client's end may be behind it. The caller holds mu.
func (c *pollConn) read(ended bool) (arrive, leave *pollCall) {
	for {
		switch {
		case c.state == pollClosed:
			return arrive, leave
		case c.state == pollOpen && c.up != nil:
			if !c.feed() {
				return arrive, leave
			}
			if c.gone && c.call != nil {
				return arrive, c.call
			}
			continue
		case c.state == pollOpen || c.state == pollWriting:
			return arrive, c.peek(leave)
		}
		n, err := unix.Read(c.fd, c.front.scratch)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return c.whole(), nil
		case err != nil:
			c.close()
			return nil, nil
		case n == 0:
			c.gone = true
			return c.ended(), nil
		}
		if c.state == pollLingering {
			continue // what a client says that has its last answer is of no use
		}
		c.take(c.front.scratch[:n])
		if c.state == pollWaiting && c.isLong() {
			arrive = c.begin()
		}
		if c.state == pollWaiting && n < len(c.front.scratch) && !ended {
			return c.whole(), nil // a short read has emptied it, and the kernel tells of what comes next
		}
	}
}

// peek looks behind a request that is open: an application sends one at a time. The caller holds mu.
func (c *pollConn) peek(leave *pollCall) *pollCall {
	var b [1]byte
	n, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err == nil && n > 0:
		c.more = true
	default: // its end, or a reset
		if !c.gone && c.call != nil {
			leave = c.call
		}
		c.gone = true
		if c.state == pollWriting && c.down != nil && c.safe {
			c.note("a client has left its answer", err)
			c.abort() // the server need not make the rest of it
		}
	}
	return leave
}

// ended handles the end of what the client sends, where no request is open. The caller holds mu.
func (c *pollConn) ended() *pollCall {
	switch {
	case c.state == pollLingering || !c.began:
		c.close()
	case c.isWhole():
		// The client has gone before anything was done for it, as all have that a stopped sidecar finds when it goes on.
		c.last = true
		c.reply(core.Refusal(0))
	default:
		c.turnAway(malformed("a request without its end"))
	}
	return nil
}

// take takes in bytes of a request. The caller holds mu.
func (c *pollConn) take(b []byte) {
	if !c.began {
		if !c.asked && b[0] >= 0x80 {
			c.stranger()
		}
		f := c.front
		f.mu.Lock()
		left := readTimeout
		if !c.asked { // what it may take counts from the connection's beginning
			left = max(wheelTick, left-(f.now()-c.since))
		}
		f.enter(c, &f.partly, left)
		f.mu.Unlock()
		c.asked, c.began, c.more = true, true, false
		c.buf = readBuffers.Get().([]byte)[:0]
	}
	c.buf = append(c.buf, b...)
	c.bodyGot += int64(len(b))
	if err := c.parse(); err != nil {
		c.turnAway(err)
	}
}

// stranger notes a peer that speaks something else: no method begins with such a byte, and every frame of MessagePack-RPC
// does.
func (c *pollConn) stranger() {
	c.front.strange.Do(func() {
		c.front.cfg.Log.Warn("a client speaks no HTTP; MessagePack-RPC has an address of its own", "peer", peerOf(c.fd))
	})
}

func peerOf(fd int) string {
	sa, err := unix.Getpeername(fd)
	if err != nil {
		return "unknown"
	}
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port)).String()
	case *unix.SockaddrInet6:
		return net.JoinHostPort(netip.AddrFrom16(sa.Addr).String(), strconv.Itoa(sa.Port))
	}
	return "unknown"
}

// parse goes on with what has come.
func (c *pollConn) parse() error {
	if c.head == nil {
		end, err := c.scan.find(c.buf)
		if err != nil || end == 0 {
			return err
		}
		if c.head, err = parseHead(c.buf[:end]); err != nil {
			return err
		}
		c.headEnd = end
		if c.head.length > httpwire.MaxStreamedBody {
			return errLongBody
		}
		if c.head.chunked {
			c.chunks = &httpwire.ChunkReader{}
		}
		c.bodyFrom, c.bodyGot = c.front.now(), int64(len(c.buf)-end)
		if c.head.expects && len(c.buf) == end && (c.head.chunked || c.head.length > 0) {
			_, _ = unix.Write(c.fd, []byte("HTTP/1.1 100 Continue\r\n\r\n")) // a client that does not get it sends its body after a while
		}
	}
	if c.isLong() { // begin goes on with it
		return nil
	}
	if c.chunks != nil && !c.isWhole() {
		taken, done, err := c.chunks.Next(c.buf[c.headEnd:])
		if err != nil {
			return err
		}
		c.buf = append(c.buf[:c.headEnd], c.buf[c.headEnd+taken:]...)
		if done {
			c.head.length = int64(len(c.chunks.Body))
		}
	}
	if c.isWhole() && c.behind() > 0 {
		return malformed("more than the request that was announced")
	}
	return nil
}

// isWhole reports whether all of the request has come, and behind how much more has.
func (c *pollConn) isWhole() bool {
	return c.head != nil && (c.chunks != nil && c.head.length >= 0 || c.chunks == nil && len(c.buf)-c.headEnd >= int(max(0, c.head.length)))
}

func (c *pollConn) behind() int {
	if c.chunks != nil {
		return len(c.buf) - c.headEnd
	}
	return len(c.buf) - c.headEnd - int(max(0, c.head.length))
}

// whole hands a request over, if all of it has come and nothing else. The caller holds mu.
func (c *pollConn) whole() *pollCall {
	if c.state != pollWaiting || !c.isWhole() {
		return nil
	}
	body := c.buf[c.headEnd:]
	if c.chunks != nil {
		body = c.chunks.Body
	}
	return c.accept(body, nil)
}
