/** Runs the decision module under the bench, an external test program, by its binary frame protocol. */
package gapproxy.benchlink;
