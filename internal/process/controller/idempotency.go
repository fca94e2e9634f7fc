// Idempotency keys: the memory that this host keeps as their owner, and the calls
// to the owners.

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
	// memoryEntries bounds the number of keys in the memory.
	memoryEntries = 40_000
	// endAttempts is how often the owner is told of the end of a run before
	// giving up. The key then counts as running until it is too old.
	endAttempts = 4
	// endRetryDelay is the delay between two attempts.
	endRetryDelay = 200 * time.Millisecond
)

func newMemory(settings parser.Settings) *deduplicator.Memory {
	return deduplicator.New(deduplicator.Options{
		Window:     settings.Idempotency.Window,
		ClockSkew:  settings.Idempotency.ClockSkew,
		MaxEntries: memoryEntries,
		MaxBytes:   memoryBytes,
	})
}

// memoryShards is the number of shards that the idempotency keys are divided
// into. Each shard has an owner of its own.
const memoryShards = 256

// keyResource names the shard that a customer's key belongs to, for the choice
// of its owner. There are few shards because a restarted owner has to claim
// each of them.
func keyResource(customer string, key deduplicator.Key) string {
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(customer))
	_, _ = digest.Write(key[:])
	return memoryResource(int(digest.Sum32() % memoryShards))
}

// memoryPrefix begins the resource names of the shards.
const memoryPrefix = "idempotency/"

// memoryResource names a shard of the idempotency keys.
func memoryResource(shard int) string { return memoryPrefix + strconv.Itoa(shard) }

// BeginRequest asks whether a request with an idempotency key may run.
type BeginRequest struct {
	Customer string              `msgpack:"c"`
	Key      deduplicator.Key    `msgpack:"k"`
	Digest   deduplicator.Digest `msgpack:"d"`
}

// EndRequest reports the end of a run.
type EndRequest struct {
	Customer  string               `msgpack:"c"`
	Key       deduplicator.Key     `msgpack:"k"`
	Run       uint64               `msgpack:"r"`
	Abandoned bool                 `msgpack:"a,omitempty"` // the request certainly did not run
	Answer    *deduplicator.Answer `msgpack:"w,omitempty"` // nil when the response is unknown or not stored
}

// EndAnswer acknowledges an EndRequest.
type EndAnswer struct{}

// Begin asks the owner of an idempotency key whether a request may run. The
// error is that of the call. It is safe for use by many goroutines.
func (c *Controller) Begin(ctx context.Context, request BeginRequest) (deduplicator.Reply, error) {
	var reply deduplicator.Reply
	err := c.CallOwner(ctx, keyResource(request.Customer, request.Key), messenger.CallBegin, request, &reply)
	return reply, err
}

// End reports the end of a run to the owner of its idempotency key, in the
// background. It is safe for use by many goroutines.
func (c *Controller) End(request EndRequest) {
	c.startCall(time.Minute, func(ctx context.Context) {
		resource := keyResource(request.Customer, request.Key)
		for range endAttempts {
			var answer EndAnswer
			err := c.CallOwner(ctx, resource, messenger.CallEnd, request, &answer)
			if err == nil {
				return
			}
			c.Log.V(1).Info("end of a run could not be reported", "step", "end", "thing", resource, "cause", err.Error())
			flow.Sleep(ctx, endRetryDelay)
		}
	})
}

func (c *Controller) handleBegin(ctx context.Context, message any) (any, error) {
	var request BeginRequest
	if err := message.(listener.Request).Decode(&request); err != nil {
		return nil, err
	}
	var reply deduplicator.Reply
	return &reply, c.runOnControl(ctx, func() error {
		var err error
		reply, err = c.begin(c.Clock.Now(), time.Now(), request)
		return err
	})
}

// begin decides as owner of the key. It requires a recent proof that this host
// still is the owner, because no request may run twice, whatever the network
// does. The wall clock matters because keys carry the time at which they were
// created.
func (c *Controller) begin(now flow.Time, wall time.Time, request BeginRequest) (deduplicator.Reply, error) {
	if !c.mayAct(now) || !c.prover.Proven(now) {
		return deduplicator.Reply{}, errNoLease
	}
	resource := keyResource(request.Customer, request.Key)
	since, held := c.keysKnownSince(now, wall, resource)
	if !held {
		c.sendClaims(now, resource, nil)
		return deduplicator.Reply{}, errNotOwner
	}
	return c.memory.Begin(now, deduplicator.Request{
		WallMillis:        wall.UnixMilli(),
		TenureStartMillis: since,
		Customer:          request.Customer,
		Key:               request.Key,
		Digest:            request.Digest,
	}), nil
}

// keysKnownSince returns since when the keys of a shard are known here, in
// milliseconds of the wall clock since 1970: since the start of the tenure, or
// earlier when the shard was handed over with its keys. It is false when this
// host does not hold the shard, or holds it by a handover but has no record of
// its keys.
func (c *Controller) keysKnownSince(now flow.Time, wall time.Time, resource string) (int64, bool) {
	tenure, held := c.placer.Holds(now, resource, c.grantLifetime(resource))
	if !held {
		return 0, false
	}
	if since, inherited := c.inheritedSince[resource]; inherited {
		return since, true
	}
	return wall.Add(-now.Sub(tenure.Since)).UnixMilli(), !tenure.ByHandover
}

// pruneInherited removes the start times of shards that were handed over here
// and are no longer held.
func (c *Controller) pruneInherited(now flow.Time) {
	for resource := range c.inheritedSince {
		if _, held := c.placer.Holds(now, resource, c.grantLifetime(resource)); !held {
			delete(c.inheritedSince, resource)
		}
	}
}

func (c *Controller) handleEnd(ctx context.Context, message any) (any, error) {
	var request EndRequest
	if err := message.(listener.Request).Decode(&request); err != nil {
		return nil, err
	}
	return &EndAnswer{}, c.runOnControl(ctx, func() error {
		now := c.Clock.Now()
		resource := keyResource(request.Customer, request.Key)
		if _, held := c.placer.Holds(now, resource, c.grantLifetime(resource)); !held {
			return errNotOwner
		}
		if request.Abandoned {
			c.memory.Abandon(now, request.Customer, request.Key, request.Run)
			return nil
		}
		c.memory.Finish(now, request.Customer, request.Key, request.Run, request.Answer)
		return nil
	})
}
