/** Scripted fault scenarios ("days") that run against real gateways and are checked by the audit, and measurements of their overhead. */
package gapproxy.day;
