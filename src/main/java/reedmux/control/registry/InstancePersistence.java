package reedmux.control.registry;

import java.util.function.Consumer;
import reedmux.control.instances.InstanceIncarnation;

/** Makes the phases of instances durable. */
interface InstancePersistence {
    /** The persistence of a registry without a disk, for which a report in memory counts as durable. */
    InstancePersistence IN_MEMORY = new InstancePersistence() {
        @Override
        public void persist(InstanceIncarnation instance, Consumer<Boolean> onOutcome) {
            onOutcome.accept(true);
        }
    };

    /**
     * Persists the phase of an instance that the directory contains already; {@code onOutcome} is called with whether
     * the phase is durable, immediately if that is known.
     */
    void persist(InstanceIncarnation instance, Consumer<Boolean> onOutcome);
}
