// Package httpdialer opens TCP connections for HTTP transports. The operating system ends
// such a connection if its peer stops responding. Each can be sealed; see package sealer.
package httpdialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/sealer"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// unacknowledgedTimeout ends a connection if sent data remains unacknowledged for that
	// long. It leaves time for a few TCP retransmissions, which start after 200 ms and
	// back off by doubling.
	unacknowledgedTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keep-alive
	// probes. They end a connection whose peer is gone while no data is being sent.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Dialer opens connections. It is safe for concurrent use.
type Dialer struct {
	timeout   time.Duration
	connector flow.Connector
}

// New returns a Dialer that bounds opening a connection by the timeout. The connector opens
// it; if that is nil, it is a TCP connection.
func New(timeout time.Duration, connector flow.Connector) *Dialer {
	if connector == nil {
		connector = &net.Dialer{
			Control: control,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     keepAliveIdle,
				Interval: keepAliveInterval,
				Count:    keepAliveCount,
			},
		}
	}
	return &Dialer{timeout: timeout, connector: connector}
}

// DialContext opens a connection that can be sealed. It has the signature that
// http.Transport needs.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	conn, err := d.connector.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return sealer.NewConn(conn, nil), nil
}

// control sets TCP_USER_TIMEOUT on the socket before it connects.
func control(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
