/** Deterministic simulation: runs the daemon's own classes on virtual time and an in-memory network; the seed determines the whole run. */
package gapproxy.sim;
