/** Scripted days of trouble through real gateways, judged by the audit. */
package gapproxy.day;
