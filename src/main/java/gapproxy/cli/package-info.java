/** The command line of gapproxy: one class for each subcommand, and the handling of signals and exit codes. */
package gapproxy.cli;
