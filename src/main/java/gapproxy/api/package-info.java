/** The interface of the decision module: its settings, the events that it is given and the actions that it returns. */
package gapproxy.api;
