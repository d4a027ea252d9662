/** Observability of a gateway: metrics, and the most recent events, which are logged when a fault occurs. Makes no decisions. */
package gapproxy.trace;
