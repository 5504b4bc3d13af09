package mesh

import (
	"net"
	"testing"
)

// The kernel tells the same inode of a connection's other end in both ways.
func TestPeerSocketInode(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	defer func() { _ = ln.Close() }() // it has nothing to lose
	client, err := net.Dial("tcp", ln.Addr().String())
	must(t, err)
	defer func() { _ = client.Close() }() // nothing was written
	server, err := ln.Accept()
	must(t, err)
	defer func() { _ = server.Close() }() // nothing was written
	local, remote := server.LocalAddr().(*net.TCPAddr), server.RemoteAddr().(*net.TCPAddr)
	byTable := inodeFromTable(local, remote)
	if byDiagnosis := inodeBySockDiag(remote, local); byTable == "" || byDiagnosis != byTable {
		t.Errorf("%q by the kernel's answer, %q by its table", byDiagnosis, byTable)
	}
	if got := inodeBySockDiag(local, &net.TCPAddr{IP: remote.IP, Port: 1}); got != "" {
		t.Errorf("a socket that isn't there has the inode %q", got)
	}
}
