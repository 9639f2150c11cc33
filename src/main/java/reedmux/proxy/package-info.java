/**
 * The program on edge machines: clients on one side, checkers on the other, what it has to know pulled
 * from the core.
 */
package reedmux.proxy;
