/**
 * What the operators' staff use day to day: the door with its line protocol, the figures that it tells, and
 * the life cycle that its calls and signals move. {@link reedmux.operator.LifeCycle} and
 * {@link reedmux.operator.OperatorCalls} decide and know no socket; {@link reedmux.operator.Door} is all I/O
 * of the package.
 */
package reedmux.operator;
