package reedmux.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import reedmux.common.net.SocketAddresses;
import reedmux.common.settings.ProcessSettings;
import reedmux.common.settings.ProcessSettingsException;
import reedmux.common.settings.SettingKeys;

/**
 * The operator tools' client for the control machines. It tries the addresses in turn, with exponential backoff after
 * each round, until one returns a response that is not retriable.
 */
final class ControlClient {
    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 800;
    private static final int MAX_REDIRECTS = 2;
    private final List<String> addresses;
    private final long timeoutMillis;
    private final HttpClient http = HttpClient.newBuilder()
            .followRedirects(HttpClient.Redirect.NEVER)
            .connectTimeout(Duration.ofSeconds(1))
            .proxy(HttpClient.Builder.NO_PROXY)
            .build();

    /**
     * Creates a client for these addresses.
     *
     * @param addresses     at least one address, as {@code address:port}
     * @param timeoutMillis the time in milliseconds after which a call fails with its last failure
     */
    ControlClient(List<String> addresses, long timeoutMillis) {
        this.addresses = addresses;
        this.timeoutMillis = timeoutMillis;
    }

    /** A response and the address of the machine that sent it. */
    record ControlResponse(String address, int status, String body) {
        /** Whether another machine, or a later attempt at the same one, may return a different response. */
        private boolean isRetriable() {
            return status >= 500 || status == 408 || status == 429;
        }
    }

    /**
     * Returns the addresses to call: the given ones, followed by the control address and the seeds of a settings file.
     *
     * @param given the addresses from the command line
     * @param file  the settings file, or null
     * @throws CommandUsageException    if a given address is not an {@code address:port}
     * @throws ProcessSettingsException if the file is invalid
     */
    static List<String> addresses(List<String> given, String file)
            throws CommandUsageException, ProcessSettingsException {
        Set<String> addresses = new LinkedHashSet<>();
        for (String address : given) {
            if (SocketAddresses.parse(address) == null) {
                throw new CommandUsageException("--control is not an address:port: " + address);
            }
            addresses.add(address);
        }
        if (file != null) {
            ProcessSettings settings = ProcessSettings.load(Path.of(file));
            if (settings.contains(SettingKeys.CONTROL_SOCKET)) {
                addresses.add(format(settings.socketAddress(SettingKeys.CONTROL_SOCKET)));
            }
            settings.seeds().forEach(seed -> addresses.add(format(seed)));
        }
        return List.copyOf(addresses);
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    /**
     * Sends the request until a machine responds with a status other than 5xx, 408 or 429.
     *
     * @throws IOException if no machine does so within the timeout; the message contains the last failure
     */
    ControlResponse call(String method, String target) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        long backoff = FIRST_BACKOFF_MILLIS;
        for (int attempt = 0; ; attempt++) {
            String address = addresses.get(attempt % addresses.size());
            String failure;
            try {
                HttpResponse<String> received = send(method, URI.create("http://" + address + target), MAX_REDIRECTS);
                ControlResponse response = new ControlResponse(address, received.statusCode(), received.body());
                if (!response.isRetriable()) {
                    return response;
                }
                failure = address + " answers " + response.status() + ": "
                        + response.body().strip();
            } catch (IOException e) {
                failure =
                        address + ": " + (e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage());
            }
            if (System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(backoff) > deadline) {
                throw new IOException("no answer within " + timeoutMillis + " ms; the last: " + failure);
            }
            if (attempt % addresses.size() == addresses.size() - 1) {
                TimeUnit.MILLISECONDS.sleep(backoff);
                backoff = Math.min(MAX_BACKOFF_MILLIS, 2 * backoff);
            }
        }
    }

    private HttpResponse<String> send(String method, URI uri, int redirects) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(uri)
                .version(HttpClient.Version.HTTP_1_1)
                .timeout(Duration.ofSeconds(2))
                .method(method, HttpRequest.BodyPublishers.noBody())
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        if (response.statusCode() != 307 || redirects == 0) {
            return response;
        }
        URI redirectTarget;
        try {
            redirectTarget = uri.resolve(response.headers()
                    .firstValue("Location")
                    .orElseThrow(() -> new IOException("307 without Location")));
        } catch (IllegalArgumentException e) {
            throw new IOException("307 with a Location that cannot be read: " + e.getMessage(), e);
        }
        return send(method, redirectTarget, redirects - 1);
    }
}
