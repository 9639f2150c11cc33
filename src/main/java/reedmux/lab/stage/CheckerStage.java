package reedmux.lab.stage;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import reedmux.message.Calls;
import reedmux.message.Head;
import reedmux.net.Listener;
import reedmux.net.Reactor;

/** A checker's stand-in: it works on each request for a while and answers as the protocol says. */
final class CheckerStage {
    private static final long PERIOD = 500_000;
    /** What a request takes whose path says so. */
    private static final long SLOW = 400_000;

    private final Reactor reactor;
    private final Listener listener;
    private final String id;
    private final String plant;
    private final String zone;
    private final List<InetSocketAddress> control;
    private final long work;
    private final List<String> ran = new ArrayList<>();
    private String phase = "ready";
    private long seq;
    private int calls;

    /** {@code work}: how long a request takes, in microseconds. */
    CheckerStage(
            Reactor reactor,
            String ip,
            String id,
            String plant,
            String zone,
            List<InetSocketAddress> control,
            long work)
            throws IOException {
        this.reactor = reactor;
        this.id = id;
        this.plant = plant;
        this.zone = zone;
        this.control = control;
        this.work = work;
        listener = new Listener(reactor, new InetSocketAddress(ip, 0), wire -> new Calls(reactor, wire, this::serve));
        beat();
    }

    private void serve(Calls.Call call, Calls from) {
        Head head = call.head();
        String attempt = head.get("Reedmux-Attempt-Id");
        String target = head.get("Reedmux-Target-Instance");
        if (target != null && !target.equals(id)) {
            from.answer(Head.answer(421).add("Reedmux-Instance-Id", id), new byte[0]);
            return;
        } else if (attempt == null) {
            from.answer(Head.answer(400).add("Reedmux-Not-Executed", "1"), new byte[0]);
            return;
        }
        String how = head.path().substring(head.path().lastIndexOf('/') + 1);
        if (how.equals("shed")) {
            from.answer(Head.answer(503).add("Reedmux-Not-Executed", "1"), new byte[0]);
            return;
        }
        ran.add(attempt);
        String wrong = mischief(how, attempt);
        if (wrong != null) {
            from.raw(wrong.getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        reactor.after(
                how.equals("slow") ? SLOW : work,
                () -> from.answer(
                        Head.answer(200)
                                .add("Reedmux-Attempt-Id", attempt)
                                .add("Reedmux-Server-Seal", "seal-" + id)
                                .add("Content-Type", "text/plain"),
                        (id + " has " + call.body().length + " bytes of " + head.path() + '\n')
                                .getBytes(StandardCharsets.UTF_8)));
    }

    /** What it says to a request whose path ends with a way to misbehave, or null. */
    private static String mischief(String how, String attempt) {
        String seal = "Reedmux-Server-Seal: s\r\n";
        String good =
                "HTTP/1.1 200 OK\r\nReedmux-Attempt-Id: " + attempt + "\r\n" + seal + "Content-Length: 4\r\n\r\ngood";
        return switch (how) {
            case "stray" -> good.replace(attempt, "of-another").replace("good", "evil") + good;
            case "behind" -> good + good.replace("good", "evil");
            case "cut" -> good.replace("Content-Length: 4", "Content-Length: 400");
            case "endless" -> good.replace("Content-Length: 4\r\n", "");
            case "noseal" -> good.replace(seal, "");
            case "coded" -> good.replace(seal, seal + "Content-Encoding: gzip\r\n");
            case "other" -> good.replace(attempt, "of-another");
            case "noise" -> "what is this\r\n\r\n";
            case "silent" -> "";
            case "unmarked" -> good.replace("200 OK", "503 Service Unavailable");
            case "limited" -> good.replace("200 OK", "429 Too Many Requests");
            default -> null;
        };
    }

    /** The attempts that it has run, in their order. */
    List<String> ran() {
        return ran;
    }

    private void beat() {
        try {
            InetSocketAddress at = listener.address();
            String address = at.getAddress().getHostAddress() + ':' + at.getPort();
            String body = String.format(
                            "{'plant':'%s','address':'%s','zone':'%s','revision':'v1','capacity':3,"
                                    + "'phase':'%s','coldLeftMs':0,'seq':%d}",
                            plant, address, zone, phase, ++seq)
                    .replace('\'', '"');
            new Asker(
                    reactor,
                    control.get(calls++ % control.size()),
                    Asker.post("/v1/Instances.Heartbeat/" + id, body),
                    (status, head, text) -> {});
        } catch (IOException e) {
            reactor.log("checker " + id + ": " + e.getMessage());
        }
        reactor.after(PERIOD, this::beat);
    }

    /** It says that it leaves, from its next call on. */
    void drain() {
        phase = "draining";
    }
}
