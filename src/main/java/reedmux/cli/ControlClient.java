package reedmux.cli;

import java.io.IOException;
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

/** An operator's call to any control address: to the next one, with a pause that grows, until one answers. */
public final class ControlClient {
    private static final int MAX_BACKOFF_MILLIS = 800;
    private static final int MAX_REDIRECTS = 2;
    private final List<String> addresses;
    private final long timeoutMillis;
    private final HttpClient http = HttpClient.newBuilder()
            .followRedirects(HttpClient.Redirect.NEVER)
            .connectTimeout(Duration.ofSeconds(1))
            .proxy(HttpClient.Builder.NO_PROXY)
            .build();

    /** {@code timeoutMillis}: after so long the last failure is told. */
    ControlClient(List<String> addresses, long patienceMs) {
        this.addresses = addresses;
        this.timeoutMillis = patienceMs;
    }

    /** What somebody answered; {@code at}: who. */
    public record ControlResponse(String address, int status, String body) {}

    /** The addresses that were given, and those of a settings file. */
    static List<String> addresses(List<String> given, String file) throws ProcessSettingsException {
        Set<String> all = new LinkedHashSet<>();
        for (String one : given) {
            if (SocketAddresses.parse(one) == null) {
                throw new ProcessSettingsException("--control is not an address:port: " + one);
            }
            all.add(one);
        }
        if (file != null) {
            ProcessSettings boot = ProcessSettings.load(Path.of(file));
            if (boot.values().containsKey("sockets.control")) {
                all.add(boot.socketAddress("control").getAddress().getHostAddress()
                        + ':'
                        + boot.socketAddress("control").getPort());
            }
            boot.seeds().forEach(seed -> all.add(seed.getAddress().getHostAddress() + ':' + seed.getPort()));
        }
        return List.copyOf(all);
    }

    /** Calls until somebody answers with something other than 5xx, 408 or 429. */
    ControlResponse call(String method, String target) throws IOException, InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        long pause = 50;
        String failure = "";
        for (int i = 0; ; i++) {
            String at = addresses.get(i % addresses.size());
            try {
                HttpResponse<String> answer = send(method, URI.create("http://" + at + target), MAX_REDIRECTS);
                int status = answer.statusCode();
                if (status < 500 && status != 408 && status != 429) {
                    return new ControlResponse(at, status, answer.body());
                }
                failure = at + " answers " + status + ": " + answer.body().strip();
            } catch (IOException e) {
                failure = at + ": " + (e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage());
            }
            if (System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(pause) > until) {
                throw new IOException("no answer within " + timeoutMillis + " ms; the last: " + failure);
            }
            if (i % addresses.size() == addresses.size() - 1) {
                TimeUnit.MILLISECONDS.sleep(pause);
                pause = Math.min(MAX_BACKOFF_MILLIS, 2 * pause);
            }
        }
    }

    private HttpResponse<String> send(String method, URI to, int redirects) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(to)
                .version(HttpClient.Version.HTTP_1_1)
                .timeout(Duration.ofSeconds(2))
                .method(method, HttpRequest.BodyPublishers.noBody())
                .build();
        HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
        if (answer.statusCode() != 307 || redirects == 0) {
            return answer;
        }
        URI next;
        try {
            next = to.resolve(
                    answer.headers().firstValue("Location").orElseThrow(() -> new IOException("307 without Location")));
        } catch (IllegalArgumentException e) {
            throw new IOException("307 with a Location that cannot be read: " + e.getMessage(), e);
        }
        return send(method, next, redirects - 1);
    }
}
