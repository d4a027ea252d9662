/** The chat completions API as clients speak it: requests checked, answers and errors in their published form. */
package gapproxy.openai;
