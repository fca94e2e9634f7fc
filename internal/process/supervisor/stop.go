// Graceful shutdown.

package supervisor

import "time"

const (
	// acceptTime is how long a stopping daemon keeps accepting connections:
	// callers need two readiness checks, one second apart, to notice the stop.
	acceptTime = 2800 * time.Millisecond
	// closeDelay is how long after the stop signal responses start to close
	// their connections, so that keep-alive connections end before the daemon
	// does.
	closeDelay = 1500 * time.Millisecond
	// refuseMargin is the part of the grace period that is left when requests
	// still waiting for a slot are refused, so that the refusals reach their
	// callers.
	refuseMargin = 900 * time.Millisecond
	// abortMargin is the part of the grace period that is left when requests
	// still running are aborted. It lies within the last sixth of the grace
	// period.
	abortMargin = 350 * time.Millisecond
	// exitMargin is the part of the grace period that is left for the process
	// to exit.
	exitMargin = 100 * time.Millisecond
	// stopPollInterval is how often a stopping daemon checks what is still in
	// progress.
	stopPollInterval = 20 * time.Millisecond
)

// stop shuts down without aborting requests. Readiness fails at once. Callers
// and other daemons are still served while callers notice, because the backend
// server has no other way to receive work. Then new connections are no longer
// accepted, nor requests on the open ones, offers are refused as not run, and requests
// in progress are awaited until shortly before the end of the grace period.
func (s *Sidecar) stop() {
	stopStarted := s.clock.Now()
	s.stopping.Store(true)
	s.log.Info("stopping", "pending", s.callers.Pending(), "running", s.offers.Active())
	grace := s.settings.Sidecar.StopGrace
	acceptFor := min(acceptTime, grace/2)
	closeAfter, closeRequested := min(closeDelay, grace/4), false
	for {
		elapsed := s.clock.Now().Sub(stopStarted)
		if elapsed >= closeAfter && !closeRequested {
			closeRequested = true
			s.callers.DisableKeepAlives()
		}
		if elapsed >= acceptFor {
			s.executor.Stop()
			s.callers.Drain()
			s.dispatcher.Drain()
			_ = s.listeners[callerAddress].Close()
			s.callers.CloseIdle()
			if s.callers.Pending() == 0 && s.offers.Active() == 0 {
				return
			}
		}
		if elapsed >= grace-refuseMargin {
			s.dispatcher.Stop()
		}
		if elapsed >= grace-abortMargin {
			s.dispatcher.Abort()
		}
		if elapsed >= grace-exitMargin {
			return
		}
		time.Sleep(stopPollInterval)
	}
}
