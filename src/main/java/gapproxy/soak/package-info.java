/**
 * A soak: gateways as real processes on loopback, between imitated clients, model servers and discovery, with a proxy on each hop and
 * several troubles at a time, drawn from one seed. Judged from the traffic alone.
 */
package gapproxy.soak;
