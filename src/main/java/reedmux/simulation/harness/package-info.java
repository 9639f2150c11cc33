/**
 * A whole gateway of the system in one process on loopback, with stand-ins for checkers, clients and the
 * operator. Real sockets and files, the programs' own classes; for a first look, the class archive and
 * tests of the whole path. Nothing of it runs in service.
 */
package reedmux.simulation.harness;
