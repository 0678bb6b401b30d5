package soaker

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// entryOf returns the index of the entry instance that opened a connection to a proxy,
// or notAnEntry for another process of the fixture. It returns false for a connection
// that none of them holds open.
//
// Addresses can't tell the entry instances apart: they pass the addresses of the servers
// on to each other, and all of them dial from the same loopback address.
func (f *fixture) entryOf(conn *net.TCPConn) (int, bool) {
	inode, err := socketInode(addrPort(conn.RemoteAddr()), addrPort(conn.LocalAddr()))
	if err != nil {
		f.t.Errorf("cannot tell which process opened a connection: %v", err)
	}
	if inode == 0 {
		return 0, false
	}
	for i, p := range f.daemons {
		if holdsSocket(p.pid(), inode) {
			return i, true
		}
	}
	for _, p := range f.servers {
		if holdsSocket(p.pid(), inode) {
			return notAnEntry, true
		}
	}
	return 0, false
}

func addrPort(a net.Addr) netip.AddrPort { return a.(*net.TCPAddr).AddrPort() }

// The protocol of socket diagnosis (sock_diag(7)), which finds one socket without the
// scan of all that reading /proc/net/tcp takes.
const (
	netlinkSockDiag   = 4
	sockDiagByFamily  = 20
	maxDiagResponse   = 4 << 10
	diagInodeOffset   = syscall.NLMSG_HDRLEN + 68
	allTCPStates      = 0xfff
	anySocketCookie   = ^uint64(0)
	diagResponseBytes = diagInodeOffset + 4
)

// diagRequest is a request for the socket with two IPv4 addresses: struct nlmsghdr and
// struct inet_diag_req_v2. The ports are in network byte order.
type diagRequest struct {
	Header                         syscall.NlMsghdr
	Family, Protocol, Extension, _ uint8
	States                         uint32
	LocalPort, RemotePort          [2]byte
	Local, Remote                  [16]byte
	Interface                      uint32
	Cookie                         uint64
}

// socketInode returns the inode of the open local socket with the addresses, or zero.
func socketInode(local, remote netip.AddrPort) (uint32, error) {
	r := diagRequest{Family: syscall.AF_INET, Protocol: syscall.IPPROTO_TCP, States: allTCPStates, Cookie: anySocketCookie}
	r.Header = syscall.NlMsghdr{Len: uint32(binary.Size(r)), Type: sockDiagByFamily, Flags: syscall.NLM_F_REQUEST}
	binary.BigEndian.PutUint16(r.LocalPort[:], local.Port())
	binary.BigEndian.PutUint16(r.RemotePort[:], remote.Port())
	copy(r.Local[:], local.Addr().Unmap().AsSlice())
	copy(r.Remote[:], remote.Addr().Unmap().AsSlice())
	request, err := binary.Append(nil, binary.NativeEndian, r)
	if err != nil {
		return 0, err
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, err
	}
	defer syscall.Close(fd)
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, err
	}
	response := make([]byte, maxDiagResponse)
	n, _, err := syscall.Recvfrom(fd, response, 0)
	if err != nil {
		return 0, err
	}
	if binary.NativeEndian.Uint16(response[4:]) == syscall.NLMSG_ERROR {
		number := -int32(binary.NativeEndian.Uint32(response[syscall.NLMSG_HDRLEN:]))
		if errno := syscall.Errno(number); errno != syscall.ENOENT {
			return 0, errno
		}
		return 0, nil
	}
	if n < diagResponseBytes {
		return 0, io.ErrUnexpectedEOF
	}
	return binary.NativeEndian.Uint32(response[diagInodeOffset:]), nil
}

// holdsSocket reports whether a process has a socket open.
func holdsSocket(pid int, inode uint32) bool {
	wanted := fmt.Sprintf("socket:[%d]", inode)
	directory := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	// A process that has exited holds no sockets.
	entries, _ := os.ReadDir(directory)
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(directory, entry.Name())); err == nil && target == wanted {
			return true
		}
	}
	return false
}

// The states of a TCP connection in which the peer has closed it, as in TCP_INFO.
const (
	tcpClosed    = 7
	tcpCloseWait = 8
)

// closedByPeer reports whether the other end has closed a connection, also while bytes
// that it sent before are unread.
func closedByPeer(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	raw.Control(func(fd uintptr) {
		// The first byte of TCP_INFO is the state.
		if info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO); err == nil {
			state := info & 0xff
			closed = state == tcpClosed || state == tcpCloseWait
		}
	})
	return closed
}

// TestSocketOwner guards against a cut that hits the connections of another process.
func TestSocketOwner(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	local, remote := addrPort(accepted.RemoteAddr()), addrPort(accepted.LocalAddr())
	inode, err := socketInode(local, remote)
	assert.NilError(t, err)
	assert.Assert(t, inode != 0)
	assert.Assert(t, holdsSocket(os.Getpid(), inode))
	assert.Assert(t, !holdsSocket(os.Getppid(), inode))
	assert.Assert(t, !closedByPeer(accepted.(*net.TCPConn)))
	_, err = client.Write([]byte{1})
	assert.NilError(t, err)
	client.Close()
	fixture := &fixture{t: t}
	_, found := fixture.entryOf(accepted.(*net.TCPConn))
	assert.Assert(t, !found)
	assert.Assert(t, closedByPeer(accepted.(*net.TCPConn)))
}
