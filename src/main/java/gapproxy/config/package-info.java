/**
 * Reads settings files, validates them against the published schema, and converts them to the settings that a gateway and its routing
 * decisions use. Also parses settings in the platform's JSON format.
 */
package gapproxy.config;
