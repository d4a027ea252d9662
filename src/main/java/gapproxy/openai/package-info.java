/** Codec of the chat completions API: validates requests, and reads and writes answers and errors in their published format. */
package gapproxy.openai;
