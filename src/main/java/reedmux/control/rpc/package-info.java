/**
 * Connections between the system's own processes: frames with messages in Kryo's form, kept up and watched.
 */
package reedmux.control.rpc;
