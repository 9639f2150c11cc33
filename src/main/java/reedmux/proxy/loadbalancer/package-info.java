/**
 * Checkers as a proxy has come to know them, and which of them is sent a request. Pure.
 */
package reedmux.proxy.loadbalancer;
