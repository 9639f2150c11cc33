/**
 * The registry program, which serves the control API to instances and operators, and replicates instances, their owners
 * and the sessions of proxies. {@link reedmux.control.registry.Registry} describes how the parts work together.
 */
package reedmux.control.registry;
