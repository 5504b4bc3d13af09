package mesh

import (
	"encoding/binary"
	"net"
	"strconv"

	"golang.org/x/sys/unix"
)

// Layout of a request to the kernel's sock_diag for one socket (struct inet_diag_req_v2 after a netlink header), and of its response.
const (
	sockDiagByFamily  = 20
	diagRequestLength = unix.NLMSG_HDRLEN + 56
	// Offsets and length of the response.
	diagPeerPortOffset = unix.NLMSG_HDRLEN + 6
	diagInodeOffset    = unix.NLMSG_HDRLEN + 68
	diagAnswerLength   = unix.NLMSG_HDRLEN + 72
	diagSourceOffset   = unix.NLMSG_HDRLEN + 8
	diagAnyCookie      = 0xffffffff
	diagAllStates      = 0xffffffff
	addressLength      = 16 // bytes of an address in a request
)

// inodeBySockDiag asks the kernel for the inode of the IPv4 TCP socket whose local address is source and whose peer is destination. Unlike
// reading tcpTable, its cost does not depend on the number of sockets of the host. It returns an empty string if the kernel has no answer.
func inodeBySockDiag(source, destination *net.TCPAddr) string {
	if source.IP.To4() == nil || destination.IP.To4() == nil {
		return ""
	}
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return ""
	}
	defer func() { _ = unix.Close(fd) }() // the descriptor is released even where this fails
	if err := unix.Sendto(fd, diagRequest(source, destination), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return ""
	}
	answer := make([]byte, 4<<10)
	n, _, err := unix.Recvfrom(fd, answer, unix.MSG_DONTWAIT) // the kernel answers a request for one socket before sendto returns
	if err != nil || n < diagAnswerLength || binary.NativeEndian.Uint16(answer[4:]) != sockDiagByFamily {
		return ""
	}
	if binary.BigEndian.Uint16(answer[diagPeerPortOffset:]) != uint16(destination.Port) { // a listening socket: the connection has ended
		return ""
	}
	return strconv.FormatUint(uint64(binary.NativeEndian.Uint32(answer[diagInodeOffset:])), 10)
}

// diagRequest returns the request for one socket.
func diagRequest(source, destination *net.TCPAddr) []byte {
	request := make([]byte, diagRequestLength)
	binary.NativeEndian.PutUint32(request, diagRequestLength)
	binary.NativeEndian.PutUint16(request[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST)
	body := request[unix.NLMSG_HDRLEN:]
	body[0], body[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[4:], diagAllStates)
	id := request[diagSourceOffset:]
	binary.BigEndian.PutUint16(id, uint16(source.Port))
	binary.BigEndian.PutUint16(id[2:], uint16(destination.Port))
	copy(id[4:], source.IP.To4())
	copy(id[4+addressLength:], destination.IP.To4())
	const cookieOffset = 4 + 2*addressLength + 4 // after the interface number
	binary.NativeEndian.PutUint32(id[cookieOffset:], diagAnyCookie)
	binary.NativeEndian.PutUint32(id[cookieOffset+4:], diagAnyCookie)
	return request
}
