/**
 * The configuration as items with revisions: what is valid, what is in force at a store, how stores decide
 * on a call, what a proxy knows. Pure.
 */
package reedmux.control.configuration;
