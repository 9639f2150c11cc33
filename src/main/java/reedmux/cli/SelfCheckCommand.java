package reedmux.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import reedmux.common.time.MonotonicClock;
import reedmux.gatekeeper.config.ConfigException;
import reedmux.gatekeeper.config.GatekeeperConfig;
import reedmux.gatekeeper.handover.HandoverCoordinator;

/**
 * Verifies that the program works on this machine: starts a gatekeeper from the sample configuration on a free loopback
 * port, sends it one request for which there is no provider, and shuts it down. The build creates the gatekeeper's
 * class archive from this run.
 */
public final class SelfCheckCommand extends Main.GatekeeperCommand {

    @Override
    int run() throws IOException, InterruptedException {
        MonotonicClock clock = new MonotonicClock();
        GatekeeperConfig config;
        try (InputStream sample = SelfCheckCommand.class.getResourceAsStream("/sample-config.json")) {
            config = GatekeeperConfig.read(sample.readAllBytes(), Map.of("RELAY_OPERATOR", "127.0.0.1:0"), clock);
        } catch (ConfigException e) {
            throw new IllegalStateException("the sample configuration is invalid: " + e.getMessage(), e);
        }
        Path folder = Files.createTempDirectory("reedmux");
        try (GatekeeperProcess gatekeeper = new GatekeeperProcess(
                LoadedConfiguration.platformOnly(config),
                clock,
                line -> {},
                folder.resolve("s"),
                HandoverCoordinator.REPLY_TIMEOUT_MILLIS)) {
            gatekeeper.warmUpAfter(() -> {});
            Thread requestThread = new Thread(() -> sendRequest(gatekeeper), "reedmux-self-check");
            requestThread.start();
            gatekeeper.run();
            requestThread.join();
        }
        Files.deleteIfExists(folder);
        return (responseStatus == 429 || responseStatus == 503) && adminResponseBytes > 0 ? 0 : 1;
    }

    private volatile int responseStatus;
    private volatile int adminResponseBytes;

    private void sendRequest(GatekeeperProcess gatekeeper) {
        try {
            InetSocketAddress address = (InetSocketAddress) gatekeeper.awaitListening();
            HttpURLConnection request = (HttpURLConnection)
                    new URL("http", address.getHostString(), address.getPort(), "/check").openConnection();
            request.setRequestProperty("X-Trace-Id", "0000000000000001");
            request.setRequestProperty("X-Customer", "0000000000000001");
            request.setRequestProperty("X-Plan", "single-line");
            request.setRequestProperty("X-Expires-In-Ms", "1000");
            request.setRequestProperty("X-Quota", "units=1,spread=1,first=0");
            responseStatus = request.getResponseCode();
            for (String adminCommand : List.of("check", "vars")) {
                try (Socket socket = new Socket(
                        gatekeeper.adminAddress().getAddress(),
                        gatekeeper.adminAddress().getPort())) {
                    socket.getOutputStream().write((adminCommand + '\n').getBytes(StandardCharsets.US_ASCII));
                    adminResponseBytes += socket.getInputStream().readAllBytes().length;
                }
            }
            System.out.println(
                    "answered " + responseStatus + " with Retry-After " + request.getHeaderField("Retry-After"));
        } catch (IOException | InterruptedException e) {
            System.out.println("not answered: " + e.getMessage());
        } finally {
            gatekeeper.beginShutdown();
        }
    }
}
