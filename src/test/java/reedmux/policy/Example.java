package reedmux.policy;

import java.lang.reflect.Proxy;
import java.util.List;
import reedmux.policy.Gateway.Actions;
import reedmux.policy.Gateway.Request;
import reedmux.policy.Gateway.Scope;
import reedmux.policy.Gateway.Server;
import reedmux.policy.Gateway.ServerList;
import reedmux.policy.Gateway.Settings;
import reedmux.policy.Gateway.Status;

/** The README's example. */
final class Example {

    private Example() {}

    static int sentFor(Settings settings) {
        int[] sent = {0};
        serve(settings, (Actions) Proxy.newProxyInstance(
                Actions.class.getClassLoader(), new Class<?>[] {Actions.class}, (proxy, method, args) -> {
                    sent[0] += method.getName().equals("send") ? 1 : 0;
                    return null;
                }));
        return sent[0];
    }

    static void serve(Settings settings, Actions actions) {
        Gateway gateway = new Brain(settings, 42); // 42: the seed of all its chance
        long now = 1_000_000; // microseconds of your clock
        Server server = new Server("10.0.0.1:8080", 0, 0, 0, Status.READY, 1, 0);
        gateway.handle(now, new ServerList(Scope.FULL, List.of(server)), actions);
        // customer 77 of plan 0 comes in through one gateway, number 0, and waits for at most 2 s
        gateway.handle(now, new Request("r1", 0, 0, 77, now + 2_000_000, 1, 1, 0, false), actions);
    }
}
