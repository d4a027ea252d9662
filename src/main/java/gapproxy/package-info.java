/**
 * The decision module of one gateway, {@link gapproxy.Rules}, and the statistics it keeps. The module uses no thread, clock, network or
 * files: it is given events and returns actions, both of which gapproxy.api declares.
 */
package gapproxy;
