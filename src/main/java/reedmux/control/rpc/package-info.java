/**
 * Connections between proxies, registries and stores: the messages, their encoded forms, and connections that are kept
 * alive, timed out and opened again. Everything but the codec runs on the reactor's thread.
 */
package reedmux.control.rpc;
