// Package rates enforces the request rate limits that backend servers state.
//
// An overloaded server states how many requests a second it accepts from all VMs together.
// VMs exchange these limits through hubs, with the number of requests that they have sent
// to each limited server. Each VM sends a server a fraction of its calls equal to the
// server's limit divided by the fleet's demand for the service, and none once the fleet's
// requests in the last Span have used up the limit.
package rates
