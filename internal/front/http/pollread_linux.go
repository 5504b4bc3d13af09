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
	var submit, disconnect *pollCall
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		submit, disconnect = c.read(events&poller.PeerClosed != 0)
	}
	c.mu.Unlock()
	if submit != nil {
		exchangeOf(&submit.Call, c.front.exchange).Submit(&submit.Call)
	}
	if disconnect != nil {
		exchangeOf(&disconnect.Call, c.front.exchange).Disconnect(&disconnect.Call)
	}
}

// read reads all there is. ended says that the client's end may be behind it. The caller holds mu.
func (c *pollConn) read(maybeClosed bool) (submit, disconnect *pollCall) {
	for {
		switch {
		case c.state == pollClosed:
			return submit, disconnect
		case c.state == pollInFlight && c.upload != nil:
			if !c.readUpload() {
				return submit, disconnect
			}
			if c.readClosed && c.call != nil {
				return submit, c.call
			}
			continue
		case c.state == pollInFlight || c.state == pollWriting:
			return submit, c.peek(disconnect)
		}
		n, err := unix.Read(c.fd, c.front.readBuffer)
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return c.completeCall(), nil
		case err != nil:
			c.close()
			return nil, nil
		case n == 0:
			c.readClosed = true
			return c.onReadClosed(), nil
		}
		if c.state == pollLingering {
			continue // what a client says that has its last answer is of no use
		}
		c.receive(c.front.readBuffer[:n])
		if c.state == pollReading && c.isStreamed() {
			submit = c.startStreamedCall()
		}
		if c.state == pollReading && n < len(c.front.readBuffer) && !maybeClosed {
			return c.completeCall(), nil // a short read has emptied it, and the kernel tells of what comes next
		}
	}
}

// peek looks behind a request that is open: an application sends one at a time. The caller holds mu.
func (c *pollConn) peek(disconnect *pollCall) *pollCall {
	var b [1]byte
	n, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err == nil && n > 0:
		c.inputPending = true
	default: // its end, or a reset
		if !c.readClosed && c.call != nil {
			disconnect = c.call
		}
		c.readClosed = true
		if c.state == pollWriting && c.download != nil && c.safe {
			c.logTruncated("a client has left its answer", err)
			c.abort() // the server need not make the rest of it
		}
	}
	return disconnect
}

// ended handles the end of what the client sends, where no request is open. The caller holds mu.
func (c *pollConn) onReadClosed() *pollCall {
	switch {
	case c.state == pollLingering || !c.requestStarted:
		c.close()
	case c.isComplete():
		// The client has gone before anything was done for it, as all have that a stopped sidecar finds when it goes on.
		c.closeAfter = true
		c.sendAnswer(core.Refusal(0))
	default:
		c.reject(malformed("a request without its end"))
	}
	return nil
}

// take takes in bytes of a request. The caller holds mu.
func (c *pollConn) receive(b []byte) {
	if !c.requestStarted {
		if !c.used && b[0] >= 0x80 {
			c.logProtocolMismatch()
		}
		f := c.front
		f.mu.Lock()
		timeout := readTimeout
		if !c.used { // what it may take counts from the connection's beginning
			timeout = max(wheelTick, timeout-(f.now()-c.queuedAt))
		}
		f.moveTo(c, &f.partial, timeout)
		f.mu.Unlock()
		c.used, c.requestStarted, c.inputPending = true, true, false
		c.buf = readBuffers.Get().([]byte)[:0]
	}
	c.buf = append(c.buf, b...)
	c.bodyReceived += int64(len(b))
	if err := c.parse(); err != nil {
		c.reject(err)
	}
}

// stranger notes a peer that speaks something else: no method begins with such a byte, and every frame of MessagePack-RPC
// does.
func (c *pollConn) logProtocolMismatch() {
	c.front.mismatchLogLimit.Do(func() {
		c.front.cfg.Log.Warn("a client speaks no HTTP; MessagePack-RPC has an address of its own", "peer", peerAddr(c.fd))
	})
}

func peerAddr(fd int) string {
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
		end, err := c.scan.findEnd(c.buf)
		if err != nil || end == 0 {
			return err
		}
		if c.head, err = parseHead(c.buf[:end]); err != nil {
			return err
		}
		c.headEnd = end
		if c.head.length > httpwire.MaxStreamedBody {
			return errBodyTooLong
		}
		if c.head.chunked {
			c.chunks = &httpwire.ChunkReader{}
		}
		c.bodyStart, c.bodyReceived = c.front.now(), int64(len(c.buf)-end)
		if c.head.expectsContinue && len(c.buf) == end && (c.head.chunked || c.head.length > 0) {
			_, _ = unix.Write(c.fd, []byte("HTTP/1.1 100 Continue\r\n\r\n")) // a client that does not get it sends its body after a while
		}
	}
	if c.isStreamed() { // begin goes on with it
		return nil
	}
	if c.chunks != nil && !c.isComplete() {
		taken, done, err := c.chunks.Next(c.buf[c.headEnd:])
		if err != nil {
			return err
		}
		c.buf = append(c.buf[:c.headEnd], c.buf[c.headEnd+taken:]...)
		if done {
			c.head.length = int64(len(c.chunks.Body))
		}
	}
	if c.isComplete() && c.extraBytes() > 0 {
		return malformed("more than the request that was announced")
	}
	return nil
}

// isWhole reports whether all of the request has come, and behind how much more has.
func (c *pollConn) isComplete() bool {
	return c.head != nil && (c.chunks != nil && c.head.length >= 0 || c.chunks == nil && len(c.buf)-c.headEnd >= int(max(0, c.head.length)))
}

func (c *pollConn) extraBytes() int {
	if c.chunks != nil {
		return len(c.buf) - c.headEnd
	}
	return len(c.buf) - c.headEnd - int(max(0, c.head.length))
}

// whole hands a request over, if all of it has come and nothing else. The caller holds mu.
func (c *pollConn) completeCall() *pollCall {
	if c.state != pollReading || !c.isComplete() {
		return nil
	}
	body := c.buf[c.headEnd:]
	if c.chunks != nil {
		body = c.chunks.Body
	}
	return c.startCall(body, nil)
}
