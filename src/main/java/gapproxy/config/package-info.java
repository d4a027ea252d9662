/** Settings files: read, checked whole against a published schema, and turned into what the program and its decisions use. */
package gapproxy.config;
