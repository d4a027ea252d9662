/** The five rules judged from the traffic alone: what clients, engines and the list service saw, not what a gateway says. */
package gapproxy.audit;
