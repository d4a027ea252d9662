/** The list of model servers: its JSON format, and the sources that deliver it from a watched file or by long polling. */
package gapproxy.list;
