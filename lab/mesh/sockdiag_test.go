package mesh

import (
	"net"
	"testing"
)

// sock_diag and the kernel's table give the same inode for the other end of a connection.
func TestPeerSocketInode(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	defer func() { _ = ln.Close() }() // nothing depends on it
	client, err := net.Dial("tcp", ln.Addr().String())
	must(t, err)
	defer func() { _ = client.Close() }() // nothing was written
	server, err := ln.Accept()
	must(t, err)
	defer func() { _ = server.Close() }() // nothing was written
	local, remote := server.LocalAddr().(*net.TCPAddr), server.RemoteAddr().(*net.TCPAddr)
	byTable := inodeFromTable(local, remote)
	if byDiagnosis := inodeBySockDiag(remote, local); byTable == "" || byDiagnosis != byTable {
		t.Errorf("%q by sock_diag, %q by the table", byDiagnosis, byTable)
	}
	if got := inodeBySockDiag(local, &net.TCPAddr{IP: remote.IP, Port: 1}); got != "" {
		t.Errorf("a socket that does not exist has the inode %q", got)
	}
}
