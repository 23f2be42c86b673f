// Package refuse defines refusals: why a request was not served. A refusal can be explained
// to the client at once, and decoded weeks later from its code without stored state.
//
// A code holds the reason, the limit that was reached with the settings path and version
// that set it, the observed value, when to retry, and whether any part of the request
// ran. It is encrypted and authenticated, so that forged codes are detected.
package refuse
