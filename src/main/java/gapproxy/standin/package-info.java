/**
 * Emulated readers, writers, list service, chat clients and platform, for tests, the demo and the scripted fault scenarios of
 * {@link gapproxy.day}. They do not model the performance of real engines.
 */
package gapproxy.standin;
