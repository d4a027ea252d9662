/** Checks the five rules from the traffic alone: what clients, engines and the list service observe, not what a gateway reports. */
package gapproxy.audit;
