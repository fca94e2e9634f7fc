// Table of all metrics, from which the operators' page is generated.

package reporter

// MetricRow describes one metric of the text format.
type MetricRow struct {
	Name    string
	Labels  string // names of the labels, separated by commas; empty for none
	Meaning string // in Markdown
}

// MetricRows returns the rows for all metrics.
func MetricRows() []MetricRow {
	return metricRows
}

var metricRows = []MetricRow{
	{"coltsfootflow_requests_total", "customer, outcome", "Requests of callers by outcome: `answered`, or the reason for the refusal. Customer `none` stands for requests without a customer, `others` for customers beyond `customers-in-metrics`."},
	{"coltsfootflow_request_latency_ms", "customer, quantile", "Time from the header of a request until its answer is written, in milliseconds. Refusals are included."},
	{"coltsfootflow_request_latency_ms_count", "customer", "Number of requests since the start of the process."},
	{"coltsfootflow_request_latency_ms_max", "customer", "Maximum of the sampled values, in milliseconds."},
	{"coltsfootflow_route_latency_ms", "route, quantile", "The same by route. Route `others` stands for routes beyond the first 500."},
	{"coltsfootflow_route_latency_ms_count", "route", "The same by route."},
	{"coltsfootflow_route_latency_ms_max", "route", "The same by route."},
	{"coltsfootflow_admissions_total", "server, outcome", "Forwarded requests for this host's backend servers, by outcome: `answered`, or the reason why this daemon refused them."},
	{"coltsfootflow_server_latency_ms", "server, quantile", "Time from sending a request to the backend server until the complete answer was read, or only its header when the answer is streamed, in milliseconds."},
	{"coltsfootflow_server_latency_ms_count", "server", "Requests that the backend server answered."},
	{"coltsfootflow_server_latency_ms_max", "server", "Maximum of the sampled values, in milliseconds."},
	{"coltsfootflow_server_limit", "server", "Current limit of concurrent requests to the backend server."},
	{"coltsfootflow_server_in_flight", "server", "Requests that are running on the backend server now."},
	{"coltsfootflow_server_waiting", "server", "Requests that are waiting for the backend server now."},
	{"coltsfootflow_server_ejected", "server", "1 while the backend server is ejected, else 0."},
	{"coltsfootflow_calls_total", "call, result", "Calls from other daemons that this daemon served: `heartbeat`, `fetch` (configuration of the platform, between sidecars), `draw` (rate tokens), `report` (results of backend servers, for ejections), `cede` and `claim` (handover and return of ownership), `begin` and `end` (idempotency keys), `resolve` (outcome of a forwarded request). Result `failed` includes refusals, such as those of a daemon that is not the owner."},
	{"coltsfootflow_store_restores_total", "", "Restores of the platform's store from a copy that this daemon has seen; always 0 in `coltsfootflow daemon`."},
	{"coltsfootflow_cut_offs_total", "", "Times that the host was cut off from the platform's store and went on using servers whose entries had expired; always 0 in `coltsfootflow daemon`."},
	{"coltsfootflow_early_refusals_total", "", "Requests of callers refused as `no-capacity` without an offer, because every backend server of their service would have refused them as too late; always 0 in `coltsfootflow daemon`."},
	{"coltsfootflow_lease_acting", "", "1 while the daemon may serve requests, else 0."},
	{"coltsfootflow_proof_age_ms", "", "Age of the newest proof that the configuration is current, in milliseconds; -1 without one."},
	{"coltsfootflow_revision_applied", "", "Revision of the configuration that this daemon applies."},
	{"coltsfootflow_record_faults", "", "Records whose latest version is not applied because it cannot be parsed."},
	{"coltsfootflow_buckets_owned", "", "Shares of customers' rates that this daemon owns and that are in use."},
}
