// Package placer places the runs of one VM. It asks the service's coordinator,
// then the VM that is next in order if the coordinator does not respond, and
// places the run itself if neither responds.
package placer
