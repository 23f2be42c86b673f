// Package queue implements the priority queue of requests that wait for
// capacity on an engine.
//
// Entries of rank 0 precede all others, in order of arrival: urgent calls are
// short, and must not wait behind long ones. All other entries are ordered by
// earliest deadline first, where a deadline is the arrival time plus the
// maximum wait of the class (Liu and Layland, Scheduling Algorithms for
// Multiprogramming, 1973). A class with a long maximum wait is delayed but
// does not starve, because its deadlines are eventually the earliest.
package queue
