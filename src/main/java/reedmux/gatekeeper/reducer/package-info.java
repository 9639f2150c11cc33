/**
 * The gatekeeper's state machine, without I/O: {@link reedmux.gatekeeper.reducer.Reducer} takes in {@link
 * reedmux.gatekeeper.reducer.ReducerEvent}s, has the policy decide, and asks for {@link
 * reedmux.gatekeeper.reducer.ReducerEffects}. {@link reedmux.gatekeeper.reducer.GatekeeperLoop} is the loop of the
 * thread that feeds it.
 */
package reedmux.gatekeeper.reducer;
