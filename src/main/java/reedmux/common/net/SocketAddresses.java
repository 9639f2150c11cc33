package reedmux.common.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses numeric IPv4 socket addresses. Host names are rejected, never resolved, because the deployment has no DNS. */
public final class SocketAddresses {
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /** Parses {@code a.b.c.d:port}; returns null if the text has another form. Port 0 stands for any free port. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String[] parts = colon < 0 ? new String[0] : text.substring(0, colon).split("\\.", -1);
        byte[] bytes = new byte[4];
        if (parts.length != bytes.length) {
            return null;
        }
        try {
            for (int i = 0; i < bytes.length; i++) {
                int part = Integer.parseInt(parts[i]);
                if (part < 0 || part > 255) {
                    return null;
                }
                bytes[i] = (byte) part;
            }
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > MAX_PORT ? null : new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
