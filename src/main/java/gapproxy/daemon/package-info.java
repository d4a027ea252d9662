/** Puts the parts of one process together: start, stop, logs. */
package gapproxy.daemon;
