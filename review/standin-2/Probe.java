import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

final class Probe {
    public static void main(String[] a) {
        Rig.main(a, 1, 61, (rig, trouble) -> {
            rig.startAll();
            Checker c = new Checker(rig, "i-1", rig.core.get(0).ip, 0, "desk", "hall-a", (self, r, s, in, out) -> {
                byte[] b = Rig.readBody(in, r.headers);
                rig.note("checker runs " + r.method + " " + r.path + " " + r.id() + " tenant " + r.headers.get("reedmux-tenant") + " body " + b.length + " " + r.headers);
                self.answer(out, r, 200, "", "ok " + r.id());
                return true;
            });
            rig.change(Rig.apply(Rig.plant("desk", 1), Rig.saturation(1), Rig.route("r1", 1, "a.example", "/a/", "effectful", "desk", 2000),
                    Rig.tenant("t1", 1, "key-one", 0, 0), Rig.tenant("t2", 1, "key-two", 1, 1)), 20);
            rig.awaitAllReady();
            try (Socket s = new Socket()) {
                s.connect(rig.front(0), 1000);
                s.setSoTimeout(3000);
                OutputStream out = s.getOutputStream();
                InputStream in = s.getInputStream();
                for (int i = 0; i < 6; i++) {
                    String m = i % 2 == 0 ? "HEAD" : "GET";
                    out.write((m + " /a/x HTTP/1.1\r\nHost: a.example\r\nReedmux-Attempt-Id: q" + i + "\r\nReedmux-Time-Left-Ms: 2000\r\nAuthorization: Bearer " + (i < 4 ? "key-two" : "key-one") + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                    Rig.Answer an = Rig.readAnswer(in, m);
                    rig.note("client " + m + " q" + i + " -> " + an.statusLine + " " + an.headers + " " + an.text());
                }
            } catch (Exception e) {
                rig.note("client " + e);
            }
            c.close();
            return true;
        });
    }
}
