/**
 * The soak: the system's programs as processes of their own, on real sockets of the loopback network, under signals,
 * kills, pauses, replaced machines and lost answers that overlap, while clients stay with their connections. What is
 * judged is what clients, checkers and operators see, and the invariants that the programs check themselves.
 */
package reedmux.simulation.soak;
