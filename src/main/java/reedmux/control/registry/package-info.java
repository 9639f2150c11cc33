/**
 * The program that takes the calls from outside, knows the lives of checkers and who of the proxies is
 * there.
 */
package reedmux.control.registry;
