// The reservation of an address. While a link is cut, nothing listens on its
// address, so that dialing it is refused, but no other process may take the port.

package interrupter

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
)

// reservation is a bound socket that never listens.
type reservation struct {
	descriptor int
	address    string // ip:port
}

// reserve binds an ip:port, or a free port if the port is 0. A listener can use
// the same address, because both sockets set SO_REUSEADDR.
func reserve(address string) (*reservation, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	if !parsed.Addr().Is4() {
		return nil, fmt.Errorf("%s is not an IPv4 address", parsed.Addr())
	}
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	bound, err := bind(descriptor, parsed)
	if err != nil {
		syscall.Close(descriptor)
		return nil, err
	}
	return &reservation{descriptor: descriptor, address: bound}, nil
}

func bind(descriptor int, address netip.AddrPort) (string, error) {
	if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return "", os.NewSyscallError("setsockopt", err)
	}
	err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: address.Addr().As4(), Port: int(address.Port())})
	if err != nil {
		return "", os.NewSyscallError("bind", err)
	}
	name, err := syscall.Getsockname(descriptor)
	if err != nil {
		return "", os.NewSyscallError("getsockname", err)
	}
	bound := name.(*syscall.SockaddrInet4)
	return net.JoinHostPort(net.IP(bound.Addr[:]).String(), fmt.Sprint(bound.Port)), nil
}

func (r *reservation) release() { syscall.Close(r.descriptor) }
