/**
 * Implements the platform's protocol towards clients, model servers and discovery, as an alternative to the chat API and vLLM's protocol.
 * This package makes no routing decisions.
 */
package gapproxy.platform;
