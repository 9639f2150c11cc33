import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Fault: a settings file that gained a field of its own, valid in TOML, keeps a restarted proxy from starting. */
final class Case7 {
    private static final int STARTS = 4;

    public static void main(String[] arguments) {
        Rig.main(arguments, 2, 63, Case7::play);
    }

    static boolean play(Rig rig, boolean trouble) throws Exception {
        rig.startAll();
        Checker checker = new Checker(rig, "i-1", rig.core.get(0).ip, 0, "desk", "hall-a", (self, request, socket, in, out) -> {
            Rig.readBody(in, request.headers);
            rig.note("checker: runs " + request.id());
            self.answer(out, request, 200, "", "ok");
            return true;
        });
        int status = rig.change(Rig.apply(Rig.plant("desk", 1), Rig.saturation(1),
                Rig.route("r-1", 1, "desk.example", "/a/", "idempotent", "desk", 2000), Rig.tenant("t1", 1, "key-one", 0, 0)), 20);
        if (status != 200) {
            throw new Rig.CouldNotRun("the configuration was not taken: " + status);
        }
        rig.awaitAllReady();
        Thread.sleep(1000);
        if (!served(rig, 0, "before-1") || !served(rig, 1, "before-2")) {
            throw new Rig.CouldNotRun("requests before the restarts were not served");
        }
        if (trouble) {
            rig.newFields = "placement = { row = 3, rack = \"b\" }\n";
            rig.note("platform: the settings files gain the field " + rig.newFields.strip());
        }
        int ownEnds = 0;
        boolean allServed = true;
        for (int i = 0; i < rig.edge.size(); i++) {
            Rig.Machine edge = rig.edge.get(i);
            edge.signal("proxy", "TERM");
            if (!edge.processes.get("proxy").waitFor(7, TimeUnit.SECONDS)) {
                edge.signal("proxy", "KILL");
            }
            boolean ready = false;
            for (int start = 1; start <= STARTS && !ready; start++) {
                Thread.sleep(500);
                edge.start("proxy");
                Process process = edge.processes.get("proxy");
                if (process.waitFor(3, TimeUnit.SECONDS)) {
                    ownEnds++;
                    rig.note("platform: proxy on " + edge.name + " ended by itself with code " + process.exitValue());
                } else {
                    ready = rig.awaitReady(i, 5);
                }
            }
            String log = edge.log("proxy").strip().replace(rig.folder + "/", "");
            rig.note("log of " + edge.name + ": " + log.substring(log.lastIndexOf('\n') + 1));
            allServed &= served(rig, i, "after-" + (i + 1));
        }
        checker.close();
        rig.note(ownEnds + " ends of processes by themselves, with no trouble on their machines");
        return ownEnds < 3 && allServed;
    }

    private static boolean served(Rig rig, int edge, String id) {
        String outcome;
        boolean ok = false;
        try (Socket socket = new Socket()) {
            socket.connect(rig.front(edge), 1000);
            socket.setSoTimeout(3000);
            socket.getOutputStream().write(("GET /a/x HTTP/1.1\r\nHost: desk.example\r\nReedmux-Attempt-Id: " + id
                    + "\r\nReedmux-Time-Left-Ms: 1200\r\nAuthorization: Bearer key-one\r\nConnection: close\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            Rig.Answer answer = Rig.readAnswer(socket.getInputStream(), "GET");
            ok = answer.status == 200;
            outcome = answer.statusLine;
        } catch (IOException e) {
            outcome = e.getMessage();
        }
        rig.note("client: " + id + " at " + rig.edge.get(edge).name + " -> " + outcome);
        return ok;
    }
}
