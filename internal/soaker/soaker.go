// One soak from its start to its result.

package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootflow/coltsfootflow/internal/connection/validator"
	"github.com/coltsfootflow/coltsfootflow/pkg/flow"
	"github.com/coltsfootflow/coltsfootflow/platform"
)

const (
	// readyTimeout limits the time until every daemon is ready.
	readyTimeout = 20 * time.Second
	// settleTime is the time between the last fault and the check of the recovery.
	// Deployments are allowed 15 s.
	settleTime = 6 * time.Second
	// recoveryWindow is the time for which the recovery is checked.
	recoveryWindow = 2 * time.Second
	// callersPerHost is the number of callers of each daemon.
	callersPerHost = 3
)

// Options are the options of a soak.
type Options struct {
	Program       string        // the program under test
	Folder        string        // for settings and logs
	Seed          uint64        // of all random choices
	FaultDuration time.Duration // time for which faults are injected
	Hosts         int
}

// Result is the result of a soak.
type Result struct {
	Violations []string    // violated guarantees with their details
	Timeline   []string    // faults and planned work with their times
	Requests   int         // sent by callers
	Runs       int         // requests that backend servers ran
	Statuses   map[int]int // requests by status; 0 is no response
}

// Run runs one soak. It returns an error when the deployment cannot start or ctx ends;
// violated guarantees are in the result.
func Run(ctx context.Context, options Options) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dep, err := startDeployment(ctx, options)
	if err != nil {
		return Result{}, err
	}
	defer func() {
		dep.close()
		cancel()
		dep.links.Wait()
	}()
	if err := dep.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	dep.startCallers(calling, &callers, callersPerHost)

	injector := &faultInjector{
		deployment: dep,
		random:     rand.New(rand.NewPCG(options.Seed, 1)),
		outages:    rand.New(rand.NewPCG(options.Seed, 2)),
		restores:   rand.New(rand.NewPCG(options.Seed, 3)),
	}
	injector.run(ctx, options.FaultDuration)
	dep.logf("all faults are over")
	flow.Sleep(ctx, settleTime)
	recoveredFrom := time.Now()
	flow.Sleep(ctx, recoveryWindow)
	stopCalling()
	callers.Wait()
	return dep.result(recoveredFrom), ctx.Err()
}

// startCallers starts the given number of callers for each host.
func (dep *deployment) startCallers(ctx context.Context, running *sync.WaitGroup, callersPerDaemon int) {
	counter := &atomic.Int64{}
	for i, h := range dep.hosts {
		for j := range callersPerDaemon {
			c := &caller{
				names: dep.names, log: dep.exchanges, host: i, address: address(h.privateIP, portCaller), keys: dep.keysInUse,
				random: rand.New(rand.NewPCG(dep.options.Seed, uint64(100+i*callersPerHost+j))), counter: counter,
			}
			running.Go(func() { c.run(ctx) })
		}
	}
}

// awaitReady waits until every daemon reports that it is ready.
func (dep *deployment) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); ; flow.Sleep(ctx, 50*time.Millisecond) {
		ready := 0
		for _, h := range dep.hosts {
			if isReady(h.privateIP) {
				ready++
			}
		}
		if ready == len(dep.hosts) {
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return flow.Wrap("await-ready", dep.options.Folder, fmt.Errorf("%d of %d daemons are ready", ready, len(dep.hosts)))
		}
	}
}

func (dep *deployment) result(recoveredFrom time.Time) Result {
	result := Result{Statuses: map[int]int{}, Violations: check(dep, recoveredFrom), Timeline: dep.timeline, Runs: len(dep.runs.all())}
	for _, e := range dep.exchanges.all() {
		result.Requests++
		result.Statuses[e.status]++
	}
	return result
}

func isReady(ip string) bool {
	client := http.Client{Timeout: time.Second, Transport: validator.DefaultClient.Transport}
	response, err := client.Get("http://" + address(ip, portReadiness) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
