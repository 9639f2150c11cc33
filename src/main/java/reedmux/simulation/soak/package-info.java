/**
 * The soak test, which runs the system's programs as separate processes on loopback sockets while clients keep their
 * connections open. Signals, kills, pauses, machine replacements and lost responses overlap. The test checks what
 * clients, checkers and operators observe, and the invariants that the programs check themselves.
 */
package reedmux.simulation.soak;
