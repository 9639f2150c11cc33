package reedmux.gatekeeper.reducer;

import java.util.ArrayDeque;

/** The state that the components of one {@link Reducer} share. Owned by the reducer's thread. */
final class ReducerContext {
    final ReducerEffects effects;
    /** Coordinates forwarding to and from other regions, or null if no regions are configured. */
    final RegionCoordinator regions;

    final ReducerTimers timers = new ReducerTimers();
    /** Events raised while another event is being reduced. They are reduced right after it. */
    final ArrayDeque<ReducerEvent> pendingEvents = new ArrayDeque<>();
    /** The time of the event being reduced, in microseconds. */
    long now;

    ReducerContext(ReducerEffects effects, RegionCoordinator regions) {
        this.effects = effects;
        this.regions = regions;
    }
}
