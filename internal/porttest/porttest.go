// Package porttest gives tests loopback ports that nobody else on the machine is given meanwhile.
//
// A port that a test learns by closing a listener is free for the kernel to hand out again, and with many test processes side
// by side it does: a test then talks to a stranger, or finds its address in use. Reserve keeps such a port bound without
// listening. The kernel refuses connections to it and neither draws it for a listener on port 0 nor for an outgoing
// connection, while a listener that asks for the port by number gets it, since both sockets have SO_REUSEADDR, as Go's
// listeners do (socket(7), ip(7)).
package porttest

import (
	"fmt"
	"net"
	"syscall"
	"testing"
)

// Reserve gives a loopback address, host:port, at which nobody listens and which is the test's until it ends: connections
// are refused until the test, or a process of it, listens there.
func Reserve(t testing.TB) string {
	t.Helper()
	socket, address, err := reserve()
	if err != nil {
		t.Fatalf("no port reserved: %v", err)
	}
	t.Cleanup(func() { syscall.Close(socket) })
	return address
}

// ReserveAll gives count different addresses, each as Reserve does.
func ReserveAll(t testing.TB, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = Reserve(t)
	}
	return addresses
}

// Listen listens at an address that stays the test's, as by Reserve, also while nobody listens there: whoever closes the
// listener can listen there again.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", Reserve(t))
	if err != nil {
		t.Fatalf("a reserved port is not to be listened at: %v", err)
	}
	return l
}

func reserve() (socket int, address string, err error) {
	socket, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", fmt.Errorf("socket: %w", err)
	}
	port, err := bind(socket)
	if err != nil {
		syscall.Close(socket)
		return 0, "", err
	}
	return socket, (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port}).String(), nil
}

// bind binds the socket to a loopback port that the kernel draws.
func bind(socket int) (port int, err error) {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, fmt.Errorf("SO_REUSEADDR: %w", err)
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, fmt.Errorf("bind: %w", err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return 0, fmt.Errorf("getsockname: %w", err)
	}
	return bound.(*syscall.SockaddrInet4).Port, nil
}
