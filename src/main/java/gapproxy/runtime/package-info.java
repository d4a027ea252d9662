/** The seam between the program and the machine: clock, timers, one loop, connections. Only the live half knows threads. */
package gapproxy.runtime;
