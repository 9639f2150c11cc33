/**
 * How many further tries one proxy may make, as its part of what all may make together. Pure.
 */
package reedmux.proxy.retry;
