/**
 * The program that keeps the configuration on disk and, with its like, decides on the operator's calls.
 */
package reedmux.control.store;
