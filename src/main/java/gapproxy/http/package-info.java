/**
 * HTTP/1.1 client and server, and server-sent events, as Grizzly filters that run over any implementation of {@link gapproxy.runtime.Net}
 * (RFC 9110, RFC 9112, WHATWG HTML 9.2).
 */
package gapproxy.http;
