package drive

import "time"

// Outcome is the result of a request as its client sees it.
type Outcome uint8

// The outcomes of a request.
const (
	Complete    Outcome = iota // a complete and correct response
	Refused                    // a refusal
	Wrong                      // a response that does not match the request
	Lost                       // no outcome after all attempts and resumes
	Interrupted                // the connection broke before a response, and the call may not be retried
)

// Result holds the outcome and the measurements of one request.
type Result struct {
	Request     Request
	Outcome     Outcome
	Reason      string // of a refusal
	Ran         string // of a refusal, whether the request ran: "no", "maybe" or "partial"
	Code        string // of a refusal
	Detail      string
	Tag         string // under which the servers recorded the last attempt
	Tokens      int
	Attempts    int // number of times sent, including retries
	Resumes     int
	VM          string        // the last VM that the request was sent to
	TimeToFirst time.Duration // time to the first token, or to the complete response
	Total       time.Duration
	RetryAfter  time.Duration // of a refusal, from the Retry-After header
	Retried     *Result       // of the retry after RetryAfter; nil if there was none
}
