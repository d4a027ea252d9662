/** The list of servers: its form, a watched file or a long poll that brings it, and the copy that outlives a restart. */
package gapproxy.list;
