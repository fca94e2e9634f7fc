// Calls to the owners of things. They may be made by any goroutine.

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
	// ownerTimeout bounds a call to the owner before the second host is asked.
	ownerTimeout = 150 * time.Millisecond
	// drawTimeout bounds the request for tokens of a share.
	drawTimeout = 300 * time.Millisecond
)

var errNoOwner = errors.New("no owner is known")

// CallOwner makes a call to the owner of a thing, and if that fails to the
// second host, which may hold the thing while the owner stops or restarts.
func (c *Controller) CallOwner(ctx context.Context, thing string, call messenger.Call, request, answer any) error {
	snapshot := c.Holder.Load()
	if snapshot.Ranking == nil {
		return flow.Wrap(flow.Step(call.String()), thing, errNoOwner)
	}
	owner, second := snapshot.Ranking.FirstTwo(thing)
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

// Ask sends a request for tokens to the owner of the share.
func (c *Controller) Ask(ctx context.Context, request granter.Request) (granter.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	var answer granter.Answer
	err := c.CallOwner(ctx, rateThing(granter.KeyOf(request)), messenger.CallDraw, request, &answer)
	return answer, err
}
