// Package pool places generations on the engines of one model. It combines what
// is known of the engines (delayed load reports, this VM's own streams, streams
// that other VMs may have placed since) with the policies that choose an engine,
// order the queue and refuse generations that would wait too long.
package pool
