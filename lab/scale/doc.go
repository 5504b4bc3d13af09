// Package scale measures how the load of the control plane grows with the number of sidecars. A run starts real control
// machines and some real sidecars beside many hollow ones: sidecars without proxy and server that share processes and run
// the protocol code of the real ones. It counts frames by kind and by content, processor time, memory and the time until
// a change is in force, and extrapolates the figures to a size that isn't run. All traffic stays on loopback, and a run
// stops every process that it started.
//
// Start reading at RunOnce. The hollow sidecar is in hollow.go, the extrapolation in fit.go.
package scale
