// The memory of idempotency keys at their owner, and the way to it.

package controller

import (
	"context"
	"hash/fnv"
	"strconv"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/listener"
	"github.com/coltsfootflow/coltsfootflow/internal/connection/messenger"
	"github.com/coltsfootflow/coltsfootflow/internal/process/deduplicator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/pkg/parser"
)

const (
	// memoryBytes bounds the memory of idempotency keys.
	memoryBytes = 16 << 20
	// memoryEntries bounds the keys in it.
	memoryEntries = 40_000
	// endAttempts is how often the end of a run is told before it is given up;
	// the key then counts as running until it is too old.
	endAttempts = 4
	// endPause is the time between two attempts.
	endPause = 200 * time.Millisecond
)

func newMemory(settings parser.Settings) *deduplicator.Memory {
	return deduplicator.New(deduplicator.Options{
		Window:    settings.Idempotency.Window,
		ClockSkew: settings.Idempotency.ClockSkew,
		Entries:   memoryEntries,
		Bytes:     memoryBytes,
	})
}

// memoryShards is the number of things that the memory is cut into.
const memoryShards = 256

// idempotencyThing names the shard of the memory that a customer's key belongs
// to, for the placement of ownership. Shards are few, because a restarted owner
// has to claim each.
func idempotencyThing(customer string, key deduplicator.Key) string {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(customer))
	_, _ = digest.Write(key[:])
	return memoryThing(int(digest.Sum32() % memoryShards))
}

// memoryPrefix begins the names of the shards of the memory.
const memoryPrefix = "idempotency/"

// memoryThing names a shard of the memory.
func memoryThing(shard int) string { return memoryPrefix + strconv.Itoa(shard) }

// BeginRequest asks whether a request with an idempotency key may run.
type BeginRequest struct {
	Customer string              `msgpack:"c"`
	Key      deduplicator.Key    `msgpack:"k"`
	Digest   deduplicator.Digest `msgpack:"d"`
}

// EndRequest tells the end of a run.
type EndRequest struct {
	Customer  string               `msgpack:"c"`
	Key       deduplicator.Key     `msgpack:"k"`
	Run       uint64               `msgpack:"r"`
	Abandoned bool                 `msgpack:"a,omitempty"` // it certainly did not take place
	Answer    *deduplicator.Answer `msgpack:"w,omitempty"` // nil when it is not known or not kept
}

// EndAnswer acknowledges an EndRequest.
type EndAnswer struct{}

// -----------------------------------------------------------------------------

// Begin asks the owner of an idempotency key whether a request may run. It may
// be called by any goroutine.
func (c *Controller) Begin(ctx context.Context, request BeginRequest) (deduplicator.Reply, error) {
	var reply deduplicator.Reply
	err := c.CallOwner(ctx, idempotencyThing(request.Customer, request.Key), messenger.CallBegin, request, &reply)
	return reply, err
}

// End tells the owner of an idempotency key the end of a run, without holding
// up the caller. It may be called by any goroutine.
func (c *Controller) End(request EndRequest) {
	c.start(time.Minute, func(ctx context.Context) {
		thing := idempotencyThing(request.Customer, request.Key)
		for range endAttempts {
			var answer EndAnswer
			err := c.CallOwner(ctx, thing, messenger.CallEnd, request, &answer)
			if err == nil {
				return
			}
			c.Log.V(1).Info("end of a run was not answered", "step", "end", "thing", thing, "cause", err.Error())
			flow.Sleep(ctx, endPause)
		}
	})
}

func (c *Controller) answerBegin(ctx context.Context, request any) (any, error) {
	var asked BeginRequest
	if err := request.(listener.Request).Decode(&asked); err != nil {
		return nil, err
	}
	var reply deduplicator.Reply
	return &reply, c.answerOn(ctx, func() error {
		var err error
		reply, err = c.begin(c.Clock.Now(), time.Now(), asked)
		return err
	})
}

// begin decides as owner of the key, and only with a young proof that it still is
// the owner: no request may run twice, whatever the network does. The wall clock
// matters because keys carry the time of their making.
func (c *Controller) begin(now flow.Time, wall time.Time, asked BeginRequest) (deduplicator.Reply, error) {
	if !c.mayAct(now) || !c.prover.Proven(now) {
		return deduplicator.Reply{}, errNoLease
	}
	thing := idempotencyThing(asked.Customer, asked.Key)
	since, held := c.memorySince(now, wall, thing)
	if !held {
		c.claim(now, thing, nil)
		return deduplicator.Reply{}, errNotOwner
	}
	return c.memory.Begin(now, deduplicator.Begin{
		WallMillis:  wall.UnixMilli(),
		TenureSince: since,
		Customer:    asked.Customer,
		Key:         asked.Key,
		Digest:      asked.Digest,
	}), nil
}

// memorySince returns since when the keys of a shard are remembered here, in
// milliseconds of the wall clock since 1970: from the start of the tenure, or
// longer when the memory was handed over.
func (c *Controller) memorySince(now flow.Time, wall time.Time, thing string) (int64, bool) {
	tenure, held := c.placer.Holds(now, thing, c.grantOf(thing))
	if !held {
		return 0, false
	}
	if since, carried := c.carried[thing]; carried {
		return since, true
	}
	return wall.Add(-now.Sub(tenure.Since)).UnixMilli(), !tenure.ByHandover
}

// forgetCarried forgets hand-overs of shards that are not held any more.
func (c *Controller) forgetCarried(now flow.Time) {
	for thing := range c.carried {
		if _, held := c.placer.Holds(now, thing, c.grantOf(thing)); !held {
			delete(c.carried, thing)
		}
	}
}

func (c *Controller) answerEnd(ctx context.Context, request any) (any, error) {
	var asked EndRequest
	if err := request.(listener.Request).Decode(&asked); err != nil {
		return nil, err
	}
	return &EndAnswer{}, c.answerOn(ctx, func() error {
		now := c.Clock.Now()
		thing := idempotencyThing(asked.Customer, asked.Key)
		if _, held := c.placer.Holds(now, thing, c.grantOf(thing)); !held {
			return errNotOwner
		}
		if asked.Abandoned {
			c.memory.Abandon(now, asked.Customer, asked.Key, asked.Run)
			return nil
		}
		c.memory.Finish(now, asked.Customer, asked.Key, asked.Run, asked.Answer)
		return nil
	})
}
