// Package porttest reserves loopback ports for tests.
//
// A port that a test finds by opening and closing a listener may be assigned again by the kernel, and with many test processes
// in parallel it is: the test then connects to another process, or its address is in use. Reserve keeps such a port bound
// without listening. The kernel refuses connections to it and assigns it neither to a listener on port 0 nor to an outgoing
// connection, while a listener that requests the port by number gets it, since both sockets have SO_REUSEADDR, as Go's
// listeners do (socket(7), ip(7)).
package porttest

import (
	"fmt"
	"net"
	"syscall"
	"testing"
)

// Reserve returns a loopback address, host:port, that is reserved until the test ends. Connections to it are refused until the
// test, or a process that it starts, listens there.
func Reserve(t testing.TB) string {
	t.Helper()
	socket, address, err := reserve()
	if err != nil {
		t.Fatalf("reserve a port: %v", err)
	}
	t.Cleanup(func() { syscall.Close(socket) })
	return address
}

// ReserveAll returns count different addresses, each reserved as by Reserve.
func ReserveAll(t testing.TB, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = Reserve(t)
	}
	return addresses
}

// Listen listens at an address reserved as by Reserve. The address stays reserved after the listener is closed, so that the test
// can listen there again.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", Reserve(t))
	if err != nil {
		t.Fatalf("listen at a reserved port: %v", err)
	}
	return l
}

// reserve returns a bound socket that does not listen and its address.
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

// bind binds the socket to a loopback port that the kernel chooses.
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
