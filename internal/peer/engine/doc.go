// Package engine is a client for model engines, which run generations. It
// starts, streams, resumes and cancels generations and reads load reports, using
// the protocol in docs/ENGINE.md. It never retries. Its errors state whether the
// generation may have run.
package engine
