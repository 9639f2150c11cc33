package reedmux.gatekeeper.policy;

import java.lang.reflect.Proxy;
import java.util.List;
import reedmux.gatekeeper.policy.TrafficPolicy.IncomingRequest;
import reedmux.gatekeeper.policy.TrafficPolicy.ListedServer;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicyActions;
import reedmux.gatekeeper.policy.TrafficPolicy.PolicySettings;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerList;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerListScope;
import reedmux.gatekeeper.policy.TrafficPolicy.ServerStatus;

/** The example of the README. */
final class Example {

    private Example() {}

    static int sentFor(PolicySettings settings) {
        int[] sent = {0};
        serve(settings, (PolicyActions) Proxy.newProxyInstance(
                PolicyActions.class.getClassLoader(), new Class<?>[] {PolicyActions.class}, (proxy, method, args) -> {
                    sent[0] += method.getName().equals("send") ? 1 : 0;
                    return null;
                }));
        return sent[0];
    }

    static void serve(PolicySettings settings, PolicyActions actions) {
        TrafficPolicy gateway = new GatekeeperPolicy(settings, 42); // 42: the seed of all its chance
        long now = 1_000_000; // microseconds of your clock
        ListedServer server = new ListedServer("10.0.0.1:8080", 0, 0, 0, ServerStatus.READY, 1, 0);
        gateway.handle(now, new ServerList(ServerListScope.FULL, List.of(server)), actions);
        // customer 77 of plan 0 comes in through one gateway, number 0, and waits for at most 2 s
        gateway.handle(now, new IncomingRequest("r1", 0, 0, 77, now + 2_000_000, 1, 1, 0, false), actions);
    }
}
