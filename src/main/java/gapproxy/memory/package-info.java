/**
 * Accounting of the memory held on behalf of peers (clients and model servers), and the decision which peer's data is refused or delayed
 * when memory is short. Depends on no other package.
 */
package gapproxy.memory;
