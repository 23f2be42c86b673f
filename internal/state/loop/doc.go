// Package loop follows a part of the store: it reads everything once, and then waits
// for changes for as long as no other VM tells of them.
//
// After any failure it reads everything again, because a change may have passed unseen.
package loop
