/**
 * A whole deployment in virtual time: the production classes of proxy, registry and store on simulated
 * sockets and disks, under drawn troubles, watched from outside by a checker of the rules. One seed decides
 * all of it, and a seed played again gives the same digest.
 */
package reedmux.simulation.cluster;
