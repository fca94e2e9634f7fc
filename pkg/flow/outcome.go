// Outcomes are what a caller is told about a request that got no answer from a
// backend server. One table drives status codes, bodies, metrics and the
// operators' page of refusals.

package flow

import "net/http"

// Outcome says what is known of a request that coltsfootflow answered itself.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun is certain: no backend server ran the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeAnswered means that a backend server's whole answer was passed on.
	OutcomeAnswered Outcome = "answered"
)

// The headers of coltsfootflow's own answers.
const (
	// HeaderOutcome carries the Outcome on every answer made by coltsfootflow.
	HeaderOutcome = "Coltsfootflow-Outcome"
	// HeaderReason carries the Reason on every answer made by coltsfootflow.
	HeaderReason = "Coltsfootflow-Reason"
	// HeaderRequestID carries the request id on every answer.
	HeaderRequestID = "Coltsfootflow-Request-Id"
	// HeaderIdempotencyKey is the caller's idempotency key, a UUIDv7.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Reason names why coltsfootflow answered a request itself, in kebab case.
type Reason string

// The reasons.
const (
	ReasonKeyMissing            Reason = "key-missing"
	ReasonKeyUnknown            Reason = "key-unknown"
	ReasonKeyInURL              Reason = "key-in-url"
	ReasonNoRoute               Reason = "no-route"
	ReasonMethodNotAllowed      Reason = "method-not-allowed"
	ReasonRequestTooLarge       Reason = "request-too-large"
	ReasonRequestMalformed      Reason = "request-malformed"
	ReasonOverRate              Reason = "over-rate"
	ReasonRateUnavailable       Reason = "rate-unavailable"
	ReasonNoLease               Reason = "no-lease"
	ReasonNoCapacity            Reason = "no-capacity"
	ReasonNoConfiguration       Reason = "no-configuration"
	ReasonBusy                  Reason = "busy"
	ReasonZoneOut               Reason = "zone-out"
	ReasonStopping              Reason = "stopping"
	ReasonPermitInvalid         Reason = "permit-invalid"
	ReasonPermitLate            Reason = "permit-late"
	ReasonLeaving               Reason = "leaving"
	ReasonEjected               Reason = "ejected"
	ReasonCancelled             Reason = "cancelled"
	ReasonUnreachable           Reason = "unreachable"
	ReasonServerShed            Reason = "server-shed"
	ReasonServerFailed          Reason = "server-failed"
	ReasonAnswerShort           Reason = "answer-short"
	ReasonAnswerForeign         Reason = "answer-foreign"
	ReasonTimeout               Reason = "timeout"
	ReasonIdempotencyKeyInvalid Reason = "idempotency-key-invalid"
	ReasonIdempotencyKeyRunning Reason = "idempotency-key-running"
	ReasonIdempotencyKeyTooOld  Reason = "idempotency-key-too-old"
	ReasonIdempotencyKeyUsed    Reason = "idempotency-key-used"
	ReasonIdempotencyMismatch   Reason = "idempotency-key-mismatch"
	ReasonIdempotencyAway       Reason = "idempotency-unavailable"
)

// ReasonRow describes one reason.
type ReasonRow struct {
	Reason  Reason
	Status  int
	Outcome Outcome
	Title   string
	Help    string // what the caller or the operator should do
}

// ReasonRows returns the table of all reasons in the order of the path of a
// request.
func ReasonRows() []ReasonRow {
	return reasonRows
}

// RowOf returns the row of a reason, and false when the reason is not known.
func RowOf(reason Reason) (ReasonRow, bool) {
	row, ok := rowsByReason[reason]
	return row, ok
}

// -----------------------------------------------------------------------------

var reasonRows = []ReasonRow{
	{ReasonRequestMalformed, http.StatusBadRequest, OutcomeNotRun, "The request is malformed", "Send a well-formed HTTP/1.1 request."},
	{ReasonRequestTooLarge, http.StatusRequestEntityTooLarge, OutcomeNotRun, "The request is too large", "Send a smaller body."},
	{ReasonKeyInURL, http.StatusBadRequest, OutcomeNotRun, "A key stands in the URL", "Send the key in the Authorization header; replace the key, since URLs are logged."},
	{ReasonNoRoute, http.StatusNotFound, OutcomeNotRun, "No route matches", "Check the path against the published routes."},
	{ReasonMethodNotAllowed, http.StatusMethodNotAllowed, OutcomeNotRun, "The route does not allow the method", "Use a method that the route allows."},
	{ReasonKeyMissing, http.StatusUnauthorized, OutcomeNotRun, "No key came with the request", "Send Authorization: Bearer with the customer's key."},
	{ReasonKeyUnknown, http.StatusUnauthorized, OutcomeNotRun, "The key is unknown or withdrawn", "Use a key in force."},
	{ReasonIdempotencyKeyInvalid, http.StatusBadRequest, OutcomeNotRun, "The idempotency key is not a UUIDv7", "Send a UUIDv7, made when the request was first sent."},
	{ReasonIdempotencyKeyRunning, http.StatusConflict, OutcomeUnknown, "A request with this idempotency key is running", "Repeat later with the same idempotency key."},
	{ReasonIdempotencyKeyUsed, http.StatusConflict, OutcomeUnknown, "A request with this idempotency key ran, and its answer is not kept", "Look up the state of the booking before repeating."},
	{ReasonIdempotencyKeyTooOld, http.StatusConflict, OutcomeUnknown, "The idempotency key is older than what is remembered", "Look up the state of the booking before repeating with a new idempotency key."},
	{ReasonIdempotencyMismatch, http.StatusUnprocessableEntity, OutcomeNotRun, "The idempotency key belongs to another request", "Make a new UUIDv7 for each different request."},
	{ReasonIdempotencyAway, http.StatusServiceUnavailable, OutcomeNotRun, "The memory of idempotency keys cannot take the request just now", "Repeat with the same idempotency key after the time in Retry-After."},
	{ReasonOverRate, http.StatusTooManyRequests, OutcomeNotRun, "The customer is over its rate", "Repeat after the time in Retry-After."},
	{ReasonRateUnavailable, http.StatusServiceUnavailable, OutcomeNotRun, "The customer's rate cannot be drawn on just now", "Repeat after the time in Retry-After."},
	{ReasonNoLease, http.StatusServiceUnavailable, OutcomeNotRun, "The daemon has no proof that its knowledge is fresh", "Ask another host."},
	{ReasonZoneOut, http.StatusServiceUnavailable, OutcomeNotRun, "The availability zone is out of service", "Ask a host in another availability zone."},
	{ReasonStopping, http.StatusServiceUnavailable, OutcomeNotRun, "The daemon is stopping", "Ask another host."},
	{ReasonNoConfiguration, http.StatusServiceUnavailable, OutcomeNotRun, "The daemon has not learnt the configuration yet", "Repeat after the time in Retry-After."},
	{ReasonBusy, http.StatusServiceUnavailable, OutcomeNotRun, "The backend server has no free slot", "Repeat the request."},
	{ReasonNoCapacity, http.StatusServiceUnavailable, OutcomeNotRun, "No backend server can take the request", "Repeat after the time in Retry-After."},
	{ReasonUnreachable, http.StatusServiceUnavailable, OutcomeNotRun, "No connection could be made", "Repeat after the time in Retry-After."},
	{ReasonPermitInvalid, http.StatusForbidden, OutcomeNotRun, "The permit of a forwarded request is not valid", "Send requests to the callers' address of a daemon; check that all daemons share one secret."},
	{ReasonPermitLate, http.StatusServiceUnavailable, OutcomeNotRun, "The permit of a forwarded request ran out", "Repeat the request."},
	{ReasonLeaving, http.StatusServiceUnavailable, OutcomeNotRun, "The backend server is leaving", "Repeat the request."},
	{ReasonEjected, http.StatusServiceUnavailable, OutcomeNotRun, "The backend server is ejected", "Repeat the request."},
	{ReasonCancelled, http.StatusServiceUnavailable, OutcomeNotRun, "The request was cancelled before it ran", "Repeat the request."},
	{ReasonServerShed, http.StatusServiceUnavailable, OutcomeNotRun, "The backend server turned the request away", "Repeat after the time in Retry-After."},
	{ReasonServerFailed, http.StatusBadGateway, OutcomeUnknown, "The connection to the backend server failed", "Look up the state before repeating a request that is not idempotent."},
	{ReasonAnswerShort, http.StatusBadGateway, OutcomeUnknown, "The backend server's answer was cut short", "Look up the state before repeating a request that is not idempotent."},
	{ReasonAnswerForeign, http.StatusBadGateway, OutcomeUnknown, "The backend server answered another request", "Look up the state before repeating a request that is not idempotent."},
	{ReasonTimeout, http.StatusGatewayTimeout, OutcomeUnknown, "The answer did not come in time", "Look up the state before repeating a request that is not idempotent."},
}

var rowsByReason = indexReasons(reasonRows)

func indexReasons(rows []ReasonRow) map[Reason]ReasonRow {
	index := make(map[Reason]ReasonRow, len(rows))
	for _, row := range rows {
		index[row.Reason] = row
	}
	return index
}
