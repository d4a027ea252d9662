/** One gateway: the loop's owner of the decisions, its reqs, their forwards and what is held for them. */
package gapproxy.gateway;
