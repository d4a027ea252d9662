/** What a gateway tells of itself: counters, and the last events for the log when something went wrong. Decides nothing. */
package gapproxy.trace;
