// Package sockets sets options of TCP sockets and reads their state.
package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for net.Dialer and net.ListenConfig that
// sets TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays
// unacknowledged for d.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return setInt(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// ReceiveBuffer returns a control function for net.Dialer that sets SO_RCVBUF before the
// connection is established, so that the peer never sees a larger window.
func ReceiveBuffer(bytes int) func(network, address string, raw syscall.RawConn) error {
	return setInt(unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
}

// SetSendBuffer sets SO_SNDBUF of a listener's socket, which accepted connections inherit.
func SetSendBuffer(raw syscall.RawConn, bytes int) error {
	return setInt(unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)("", "", raw)
}

// PeerHasEnded reports whether the peer of a TCP connection has ended its sending side, and
// the connection has not been reset or closed since. It returns false if the state of the
// connection is not known.
func PeerHasEnded(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = infoErr == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && ended
}

func setInt(level, option, value int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), level, option, value) })
		return errors.Join(err, optionErr)
	}
}
