/** How many bytes a process keeps for its peers, and whose are refused or held back when room is short. Depends on nothing. */
package gapproxy.memory;
