// Package pool places generations on the engines of one model. It joins what
// is known of the engines (late reports, this VM's own streams, what other
// VMs may have placed since) with the policies that choose an engine, order
// the waiting and refuse what would wait too long.
package pool
