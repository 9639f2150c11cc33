package reedmux.gatekeeper.reducer;

import java.util.ArrayDeque;

/** What the parts of one {@link Reducer} share while an event is reduced. Owned by the reducer's thread. */
final class ReducerContext {
    final ReducerEffects effects;
    /** The decisions on other regions, or null where none are set. */
    final RegionCoordinator regions;

    final ReducerTimers timers = new ReducerTimers();
    /** Events that follow from the one that is being reduced, and are reduced right after it. */
    final ArrayDeque<ReducerEvent> pendingEvents = new ArrayDeque<>();
    /** The time of the event that is being reduced, in microseconds. */
    long now;

    ReducerContext(ReducerEffects effects, RegionCoordinator regions) {
        this.effects = effects;
        this.regions = regions;
    }
}
