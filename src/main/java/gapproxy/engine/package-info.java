/** The protocol towards engines: reads, transfer of state, writes, load metrics, and release of held resources. */
package gapproxy.engine;
