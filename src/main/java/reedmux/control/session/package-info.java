/**
 * The sessions of proxies with registries, and the resulting view of all proxies: their order, their neighbours in a
 * heap and a digest. Uses no I/O, threads or clocks.
 */
package reedmux.control.session;
