package reedmux.simulation.region;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import reedmux.gatekeeper.failover.FailoverRules;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;

/** A region at work. */
final class SimulatedRegion {
    final RegionSetup setup;
    final PolicySettings[] settings;
    final List<SimulatedGatekeeper> gatekeepers = new ArrayList<>();
    final Map<String, SimulatedProvider> providers = new LinkedHashMap<>();
    /** The rules on other regions that gatekeepers start with from now on. */
    FailoverRules rules;

    /** Consumers' requests a second, from now on. */
    double perSecond;
    /** Counts the lists of providers that were announced. */
    long listRevision;

    SimulatedRegion(RegionSetup setup, PolicySettings[] settings) {
        this.setup = setup;
        this.settings = settings;
        rules = setup.rules();
        perSecond = setup.perSecond();
    }

    /** The provider that started last of those that may be sent requests; {@code chosen} if none restarted. */
    SimulatedProvider newest(SimulatedProvider chosen) {
        SimulatedProvider newest = chosen;
        for (SimulatedProvider provider : providers.values()) {
            newest = provider.startedAt > newest.startedAt && !provider.draining && provider.isReachable()
                    ? provider
                    : newest;
        }
        return newest;
    }
}
