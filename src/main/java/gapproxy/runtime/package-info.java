/**
 * Abstractions of clock, timers, event loop, network and files, so that all code that uses them runs the same live and in simulation. Only
 * the live implementations use threads.
 */
package gapproxy.runtime;
