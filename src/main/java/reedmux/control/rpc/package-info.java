/**
 * RPC between proxies, registries and stores: the message types, their serialization, and connections with handshake,
 * keep-alive, receive timeout and automatic reconnection. All classes except the codec are confined to the reactor
 * thread.
 */
package reedmux.control.rpc;
