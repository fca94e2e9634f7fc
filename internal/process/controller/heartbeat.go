// The heartbeat exchange (gossip): proofs that hosts are alive and that their
// configuration is current, and the records that the requesting daemon
// lacks.

package controller

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/prover"
	"github.com/coltsfootflow/coltsfootflow/internal/version/merger"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// heartbeatTimeout bounds one exchange.
	heartbeatTimeout = time.Second
	// deltaLimit is the approximate maximum size of the records in one answer,
	// in bytes.
	deltaLimit = 256 << 10
)

// HeartbeatRequest asks a peer for a proof, and for the records that the sender
// lacks.
type HeartbeatRequest struct {
	Proof prover.Request `msgpack:"p"`
	Delta merger.Request `msgpack:"d"`
}

// HeartbeatAnswer is the answer to a HeartbeatRequest.
type HeartbeatAnswer struct {
	Proof prover.Answer `msgpack:"p"`
	Delta *merger.Delta `msgpack:"d,omitempty"` // nil when the answering daemon has nothing newer
}

// sendHeartbeats sends heartbeats to the peers chosen for this tick, and to the
// seeds while the daemon has no such peers or does not hold its lease.
func (c *Controller) sendHeartbeats(now flow.Time) {
	targets := c.prover.Targets()
	for _, host := range targets {
		if address, ok := c.peerAddresses[host]; ok {
			c.sendHeartbeat(address)
		}
	}
	if len(targets) > 0 && c.leaseStatus.Acting {
		return
	}
	for _, seed := range c.Settings.Seeds {
		if seed != c.Settings.Addresses.PeerDialAddress() {
			c.sendHeartbeat(seed)
		}
	}
}

// recordPeerAddresses records the addresses of the hosts of the region. A host
// that was removed from the member list is still sent heartbeats as long as a
// version that names it is kept.
func (c *Controller) recordPeerAddresses() {
	for _, name := range c.index.HostsOfRegion(c.Settings.Region) {
		if host, ok := c.index.Host(name); ok {
			c.peerAddresses[name] = host.PeerAddress
		}
	}
}

// prunePeerAddresses removes the addresses of hosts that no kept version of the
// member list names.
func (c *Controller) prunePeerAddresses() {
	named := map[string]bool{}
	for _, version := range c.prover.Versions() {
		for _, name := range version.List.Names {
			named[name] = true
		}
	}
	for name := range c.peerAddresses {
		if !named[name] {
			delete(c.peerAddresses, name)
		}
	}
}

// sendHeartbeat starts one exchange with the daemon at an address, unless one
// is in progress.
func (c *Controller) sendHeartbeat(address string) {
	if c.heartbeatsInFlight[address] {
		return
	}
	c.heartbeatsInFlight[address] = true
	sentAt := c.Clock.Now()
	request := HeartbeatRequest{Proof: c.prover.Request(), Delta: c.merger.NextRequest()}
	c.startCall(heartbeatTimeout, func(ctx context.Context) {
		var answer HeartbeatAnswer
		err := c.Dialer.Call(ctx, address, messenger.CallHeartbeat, request, &answer)
		c.enqueue(c.ctx, func() {
			delete(c.heartbeatsInFlight, address)
			if err != nil {
				c.Log.V(1).Info("heartbeat failed", "step", "heartbeat", "peer", address, "cause", err.Error())
				return
			}
			c.applyHeartbeatAnswer(sentAt, address, answer)
		})
	})
}

// applyHeartbeatAnswer processes an answer: the records first, so that the
// revision that the proof refers to is already in force when the proof is
// processed.
func (c *Controller) applyHeartbeatAnswer(sentAt flow.Time, address string, answer HeartbeatAnswer) {
	now := c.Clock.Now()
	if answer.Delta != nil {
		c.merge(now, *answer.Delta)
	}
	c.merger.ObserveRevision(c.prover.Observe(now, sentAt, answer.Proof))
	c.Timekeeper.Observe(now, answer.Proof.From, answer.Proof.Incarnation, answer.Proof.Now)
	c.publish(now)
	if answer.Delta != nil && c.merger.Applied() < answer.Proof.Applied {
		c.sendHeartbeat(address)
	}
}

// Endpoints returns the handlers of the calls that other daemons may make.
func (c *Controller) Endpoints() map[messenger.Call]endpoint.Endpoint {
	return map[messenger.Call]endpoint.Endpoint{
		messenger.CallHeartbeat: c.handleHeartbeat,
		messenger.CallDraw:      c.handleDraw,
		messenger.CallReport:    c.handleReport,
		messenger.CallCede:      c.handleHandover,
		messenger.CallClaim:     c.handleClaim,
		messenger.CallBegin:     c.handleBegin,
		messenger.CallEnd:       c.handleEnd,
	}
}

func (c *Controller) handleHeartbeat(ctx context.Context, message any) (any, error) {
	var request HeartbeatRequest
	if err := message.(listener.Request).Decode(&request); err != nil {
		return nil, err
	}
	var answer HeartbeatAnswer
	return &answer, c.runOnControl(ctx, func() error {
		now := c.Clock.Now()
		answer.Proof = c.prover.Answer(now)
		if request.Delta.From < c.merger.Applied() || request.Delta.Full {
			delta := c.merger.Delta(request.Delta, deltaLimit)
			answer.Delta = &delta
		}
		c.requestNewer(request.Proof)
		return nil
	})
}

// requestNewer sends a heartbeat at once to the host that sent a request, if the
// request names a newer revision than the applied one.
func (c *Controller) requestNewer(request prover.Request) {
	if request.Highest <= c.merger.Applied() {
		return
	}
	if record, ok := c.index.Host(request.From); ok {
		c.sendHeartbeat(record.PeerAddress)
	}
}

// runOnControl runs the answer to a call on the control goroutine.
func (c *Controller) runOnControl(ctx context.Context, answer func() error) error {
	var err error
	if !c.Do(ctx, func() { err = answer() }) {
		return errStopped
	}
	return err
}

// Learn asks a host for its clock with a heartbeat, and records it in the
// Timekeeper before it returns. The error is that of the call, or says that the
// daemon has stopped.
func (c *Controller) Learn(ctx context.Context, host *flow.Host) error {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var request HeartbeatRequest
	if !c.Do(ctx, func() {
		request = HeartbeatRequest{Proof: c.prover.Request(), Delta: c.merger.NextRequest()}
	}) {
		return errStopped
	}
	sentAt := c.Clock.Now()
	var answer HeartbeatAnswer
	if err := c.Dialer.Call(ctx, host.PeerAddress, messenger.CallHeartbeat, request, &answer); err != nil {
		return err
	}
	c.Timekeeper.Observe(c.Clock.Now(), answer.Proof.From, answer.Proof.Incarnation, answer.Proof.Now)
	c.enqueue(ctx, func() { c.applyHeartbeatAnswer(sentAt, host.PeerAddress, answer) })
	return nil
}
