// Package engine speaks to model engines: it starts, follows, resumes and
// cancels generations and reads load reports, by the protocol in
// docs/ENGINE.md. It never retries; its errors say what is known of whether
// the generation ran.
package engine
