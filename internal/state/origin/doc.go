// Package origin finds which version of the servers' software began a stream that its client
// takes up, at whichever VM it arrives.
//
// The VM that forwards a stream's first event knows the version. While the servers of a service
// run several versions, it sends a record of each stream to a few other VMs, and when a second
// version appears, the records of the streams before that. A VM to which a client comes back
// looks into its own records, and then asks the others. Where the servers have run one version
// only for as long as the stream can have lived, nothing is sent and nothing is asked.
package origin
