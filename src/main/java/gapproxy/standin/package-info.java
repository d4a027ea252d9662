/** Imitation readers, writers, list service and chat clients, for tests and scripted days. They are no model of real engines. */
package gapproxy.standin;
