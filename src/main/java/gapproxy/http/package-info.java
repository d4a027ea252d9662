/** HTTP/1.1 and event streams over Grizzly's filter chains, the same on any transport; RFC 9110, RFC 9112, WHATWG HTML 9.2. */
package gapproxy.http;
