/**
 * The registry program: it serves the control API to instances and to the operator, and replicates instances, their
 * owners and the sessions of proxies. {@link reedmux.control.registry.Registry} says how the parts work together.
 */
package reedmux.control.registry;
