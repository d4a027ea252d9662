/** Assembles a gateway with its event loop, network transport and logging into a process that can be started and shut down. */
package gapproxy.daemon;
