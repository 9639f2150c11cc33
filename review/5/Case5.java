import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ConcurrentHashMap;
import java.util.Map;

/** UNASKED: the end of a long chunked body is missing when the checker reads it slowly. */
final class Case5 {
    private static final int PIECE = 16 * 1024;
    /** Lengths of the bodies, in pieces: from 2.5 to 8.8 MB, as the buffers of the kernel differ from machine to machine. */
    private static final int FIRST_PIECES = 160;

    private static final int STEP_PIECES = 16;
    private static final int UPLOADS = 25;

    public static void main(String[] arguments) {
        Rig.main(arguments, 1, 61, Case5::play);
    }

    static boolean play(Rig rig, boolean trouble) throws Exception {
        rig.startAll();
        Map<String, byte[]> ran = new ConcurrentHashMap<>();
        Checker checker = new Checker(rig, "i-slow", rig.core.get(0).ip, 64 * 1024, "intake", "hall-a", (self, request, socket, in, out) -> {
            if (trouble) {
                Checker.sleep(1500);
            }
            byte[] body = Rig.readBody(in, request.headers);
            ran.put(request.id(), body);
            rig.note("checker: runs " + request.id() + " with a body of " + body.length + " bytes");
            self.answer(out, request, 200, "", "done");
            return true;
        });
        int status = rig.change(Rig.apply(Rig.plant("intake", 1), Rig.saturation(1),
                Rig.route("r-up", 1, "up.example", "/up/", "inflow", "intake", 10_000),
                Rig.tenant("t1", 1, "key-one", 0, 0)), 20);
        if (status != 200) {
            throw new Rig.CouldNotRun("the configuration was not taken: " + status);
        }
        rig.awaitAllReady();
        int changed = 0;
        for (int n = 1; n <= UPLOADS; n++) {
            int pieces = FIRST_PIECES + (n - 1) * STEP_PIECES;
            String id = "up-" + n;
            byte[] sent = new byte[PIECE * pieces];
            for (int i = 0; i < sent.length; i++) {
                sent[i] = (byte) (i * 31 + i / PIECE + n);
            }
            String outcome;
            try (Socket socket = new Socket()) {
                socket.connect(rig.front(0), 1000);
                socket.setSoTimeout(12_000);
                OutputStream out = socket.getOutputStream();
                InputStream in = socket.getInputStream();
                out.write(("POST /up/" + n + " HTTP/1.1\r\nHost: up.example\r\nReedmux-Attempt-Id: " + id
                        + "\r\nReedmux-Time-Left-Ms: 10000\r\nAuthorization: Bearer key-one\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                for (int i = 0; i < pieces; i++) {
                    out.write((Integer.toHexString(PIECE) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                    out.write(sent, i * PIECE, PIECE);
                    out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                    if (i % 4 == 0) {
                        Thread.sleep(2);
                    }
                }
                out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                rig.note("client: sent " + id + ", a body of " + sent.length + " bytes");
                Rig.Answer answer = Rig.readAnswer(in, "POST");
                outcome = answer.status + " " + answer.text().strip();
            } catch (IOException e) {
                outcome = e.toString();
            }
            byte[] body = ran.get(id);
            rig.note("client: " + id + " -> " + outcome + "; run with "
                    + (body == null ? "nothing" : body.length + " bytes, " + (Arrays.equals(body, sent) ? "as sent" : "not as sent")));
            changed += body == null || Arrays.equals(body, sent) ? 0 : 1;
        }
        checker.close();
        rig.note(changed + " of " + UPLOADS + " bodies were run otherwise than they were sent");
        return changed == 0;
    }
}
