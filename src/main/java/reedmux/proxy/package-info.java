/**
 * The proxy program, on edge machines: receives the requests of clients and forwards them to checkers, by what it pulls
 * from the control plane. Everything runs on one reactor's thread; what decides is in the packages below, which know no
 * socket and no clock.
 */
package reedmux.proxy;
