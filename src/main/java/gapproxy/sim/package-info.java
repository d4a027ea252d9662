/** Simulated time and an in-memory network under the very classes that run in the daemon; every run follows from its seed. */
package gapproxy.sim;
