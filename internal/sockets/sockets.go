// Package sockets sets options of TCP sockets.
package sockets

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for net.Dialer and net.ListenConfig that
// sets TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays
// unacknowledged for d.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}
