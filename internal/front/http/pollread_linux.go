package http

// This file reads requests from polled connections.

import (
	"net"
	"net/netip"
	"strconv"

	"golang.org/x/sys/unix"

	"firplank/internal/core"
	"firplank/internal/httpwire"
	"firplank/internal/poller"
)

// Ready handles the connection's events, on the poller's goroutine. It calls the exchange without holding the lock, as the exchange
// may be waiting for that lock.
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

// read reads until the socket is empty. It returns a call to submit and one whose client has disconnected, each nil if there is none.
// maybeClosed means that the peer may have closed behind the buffered bytes. The caller holds mu.
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
			continue // bytes after the last answer are dropped
		}
		c.receive(c.front.readBuffer[:n])
		if c.state == pollReading && c.isStreamed() {
			submit = c.startStreamedCall()
		}
		if c.state == pollReading && n < len(c.front.readBuffer) && !maybeClosed {
			return c.completeCall(), nil // a short read has emptied the socket, and the kernel reports further bytes
		}
	}
}

// peek checks whether anything was received after the open request: an application sends one request at a time. The caller holds mu.
func (c *pollConn) peek(disconnect *pollCall) *pollCall {
	var b [1]byte
	n, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
	case err == nil && n > 0:
		c.inputPending = true
	default: // closed or reset
		if !c.readClosed && c.call != nil {
			disconnect = c.call
		}
		c.readClosed = true
		if c.state == pollWriting && c.download != nil && c.safe {
			c.logTruncated("client disconnected before the end of its answer", err)
			c.abort() // the server need not produce the rest
		}
	}
	return disconnect
}

// onReadClosed handles the end of the client's sending while no request is open. The caller holds mu.
func (c *pollConn) onReadClosed() *pollCall {
	switch {
	case c.state == pollLingering || !c.requestStarted:
		c.close()
	case c.isComplete():
		// The client disconnected before its request was submitted, as usual when a paused process resumes (SIGSTOP, SIGCONT).
		c.closeAfter = true
		c.sendAnswer(core.Refusal(0))
	default:
		c.reject(malformed("a request without its end"))
	}
	return nil
}

// receive processes received bytes of a request. The caller holds mu.
func (c *pollConn) receive(b []byte) {
	if !c.requestStarted {
		if !c.used && b[0] >= 0x80 {
			c.logProtocolMismatch()
		}
		f := c.front
		f.mu.Lock()
		timeout := readTimeout
		if !c.used { // the first request's time counts from the start of the connection
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

// logProtocolMismatch logs a client that speaks another protocol: no HTTP method begins with such a byte, but every frame of
// MessagePack-RPC does.
func (c *pollConn) logProtocolMismatch() {
	c.front.mismatchLogLimit.Do(func() {
		c.front.cfg.Log.Warn("client does not speak HTTP; MessagePack-RPC is served at another address", "peer", peerAddr(c.fd))
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

// parse continues to parse the received bytes.
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
			// A client that does not receive it sends its body after a while.
			_, _ = unix.Write(c.fd, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
	}
	if c.isStreamed() { // startStreamedCall continues
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

// isComplete reports whether the whole request was received, and extraBytes returns how many bytes were received after it.
func (c *pollConn) isComplete() bool {
	return c.head != nil && (c.chunks != nil && c.head.length >= 0 || c.chunks == nil && len(c.buf)-c.headEnd >= int(max(0, c.head.length)))
}

func (c *pollConn) extraBytes() int {
	if c.chunks != nil {
		return len(c.buf) - c.headEnd
	}
	return len(c.buf) - c.headEnd - int(max(0, c.head.length))
}

// completeCall returns the call for the request if it is complete, else nil. The caller holds mu.
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
