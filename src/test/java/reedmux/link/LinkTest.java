package reedmux.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reedmux.link.Messages.Hello;
import reedmux.net.ScriptedSockets;

/** What comes from whoever opens a connection: messages, or bytes that are none. */
public class LinkTest {
    private static final Hello OTHER = new Hello(Messages.FORM, "proxy", "edge-1", "10.1.0.1", "a", 5, List.of());

    private static final class Owner implements Link.Owner {
        final List<Object> told = new ArrayList<>();
        int ups;
        int downs;

        @Override
        public void up(Link link) {
            ups++;
        }

        @Override
        public void told(Link link, Object message) {
            told.add(message);
        }

        @Override
        public void down(Link link) {
            downs++;
        }
    }

    private static String frame(byte[] bytes) {
        return new String(
                ByteBuffer.allocate(4 + bytes.length)
                        .putInt(bytes.length)
                        .put(bytes)
                        .array(),
                StandardCharsets.ISO_8859_1);
    }

    private static String frame(Object message) {
        return frame(new Codec().write(message));
    }

    @DataProvider
    public Object[][] bad() {
        byte[] hello = new Codec().write(OTHER);
        return new Object[][] {
            {"GET / HTTP/1.1\r\n\r\n", "no frame"},
            {frame(new byte[0]), "no frame"},
            {frame(Arrays.copyOf(hello, hello.length - 1)), "cannot be read"},
            {frame(new byte[] {99, 1}), "cannot be read"},
            {
                frame(new Hello(Messages.FORM + 1, "store", "n", "10.0.0.9", "a", 1, List.of())),
                "speaks form " + (Messages.FORM + 1) + ", here " + Messages.FORM
            },
            {frame(new Messages.Known(1)), "before it said who it is"},
            {frame(new byte[100_000]), "no frame"},
            {frame(OTHER) + frame(new byte[] {99, 1}), "proxy of edge-1"},
            {frame(OTHER) + frame(OTHER), "proxy of edge-1"}
        };
    }

    /** A clear line, once, and an end; and the next link is heard. */
    @Test(dataProvider = "bad")
    public void whatIsNoMessageEndsItsLinkAlone(String bytes, String line) throws IOException {
        ScriptedSockets sockets = new ScriptedSockets();
        Codec codec = new Codec();
        Owner owner = new Owner();
        Hello self = new Hello(Messages.FORM, "store", "core-1", "10.0.0.1", "a", 3, List.of());
        for (int i = 0; i < 3; i++) {
            Link.of(sockets.reactor(), codec, self, sockets.accepted(), owner);
            sockets.opened.get(i).give(bytes);
            assertTrue(sockets.opened.get(i).isClosed());
        }
        assertEquals(owner.downs, 3);
        assertEquals(owner.told.size(), 0);
        assertEquals(sockets.lines.size(), 1, sockets.lines.toString());
        assertTrue(sockets.lines.get(0).contains(line), sockets.lines.get(0));
        Link good = Link.of(sockets.reactor(), codec, self, sockets.accepted(), owner);
        String all = frame(OTHER) + frame(new Messages.Known(4));
        for (int i = 0; i < all.length(); i++) {
            sockets.opened.get(3).give(all.substring(i, i + 1));
        }
        assertTrue(good.isUp());
        assertEquals(owner.told, List.of(new Messages.Known(4)));
    }
}
