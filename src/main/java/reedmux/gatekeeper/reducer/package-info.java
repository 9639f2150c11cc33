/**
 * The gatekeeper's state machine, which performs no I/O. {@link reedmux.gatekeeper.reducer.Reducer} receives {@link
 * reedmux.gatekeeper.reducer.ReducerEvent}s, passes them to the traffic policy for decisions, and requests I/O through
 * {@link reedmux.gatekeeper.reducer.ReducerEffects}. {@link reedmux.gatekeeper.reducer.GatekeeperLoop} is the event
 * loop of the thread that runs the reducers.
 */
package reedmux.gatekeeper.reducer;
