// Package tunnel lets a VM reach a backend server through another VM.
//
// A VM that cannot connect to a server sends another VM a request with the server's
// identifier. The other VM connects to the server over its own links, never through a third
// VM, and responds. From then on it copies bytes between the two connections. Nothing is
// sent to the server before the first VM has read the response, so a failure up to that
// point means that a call has not run.
//
// Bytes from the server are sent in chunks (RFC 9112, section 7.1), of which the last one
// shows that the server closed its connection. If a VM that carries a tunnel ends, its
// connections are closed too, and without the last chunk a response that ends with its
// connection would look complete.
package tunnel
