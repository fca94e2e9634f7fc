// Calls to the owners of resources. They are safe for use by many goroutines.

package controller

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/granter"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
)

const (
	// ownerTimeout bounds a call to one host: the owner, then the second host.
	ownerTimeout = 150 * time.Millisecond
	// drawTimeout bounds a request for tokens of a share, over both hosts.
	drawTimeout = 300 * time.Millisecond
)

var errNoOwner = errors.New("no owner is known")

// CallOwner calls the owner of a resource and, if that fails, the second host,
// which may hold the resource while the owner stops or restarts. When both
// fail, the error is that of the owner.
func (c *Controller) CallOwner(ctx context.Context, resource string, call messenger.Call, request, answer any) error {
	snapshot := c.Holder.Load()
	if snapshot.Ranking == nil {
		return flow.Wrap(flow.Step(call.String()), resource, errNoOwner)
	}
	owner, second := snapshot.Ranking.FirstTwo(resource)
	err := c.callHost(ctx, owner, call, request, answer)
	if err == nil || second == "" || ctx.Err() != nil {
		return err
	}
	if c.callHost(ctx, second, call, request, answer) == nil {
		return nil
	}
	return err
}

func (c *Controller) callHost(ctx context.Context, name string, call messenger.Call, request, answer any) error {
	host, ok := c.Holder.Load().Index.Host(name)
	if !ok {
		return flow.Wrap(flow.Step(call.String()), name, errNoOwner)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	return c.Dialer.Call(ctx, host.PeerAddress, call, request, answer)
}

// RequestTokens requests tokens from the owner of the share. The error is that of
// CallOwner.
func (c *Controller) RequestTokens(ctx context.Context, request granter.Request) (granter.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	var answer granter.Answer
	err := c.CallOwner(ctx, rateResource(granter.KeyOf(request)), messenger.CallDraw, request, &answer)
	return answer, err
}
