// Package hold bounds what a VM holds for its clients: memory and descriptors.
//
// Each connection of a client has an Account on the Pool. It states how many bytes are held for the
// client, from the first byte of a request to the last byte of the response that the client has
// read, and what the connection waits for. Bytes are counted as they arrive: what a client
// announces takes nothing from others.
//
// If too little is left, connections that wait for their clients are reclaimed: first those
// without a request, the oldest first, and then those that wait longest with most bytes for the
// rest of a request, or for the client to read. Such clients are refused or closed by their
// connections' goroutines, which then give back what they held. Calls that are under way are never
// reclaimed. If there is nothing to reclaim, new requests and connections are refused.
package hold
