// Package relay proxies the calls of clients to backend servers.
//
// A call is checked against one snapshot of the settings and sent to a backend
// server. The client receives that server's complete, unmodified response, or a
// refusal that states correctly whether the call ran. A call that must not run
// twice is sent to at most one server, unless that server reports that it did
// not run it. A stream whose engine retires or fails migrates to another engine
// with a copy of its KV cache.
package relay
