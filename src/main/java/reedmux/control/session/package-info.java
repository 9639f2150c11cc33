/**
 * The sessions of proxies with registries, and the view of all proxies that follows from them: an order, the neighbours
 * in a heap and a digest. Pure.
 */
package reedmux.control.session;
