package caperrudder.scale;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;

/** The clients of a real gateway. Its methods are of one thread; responses are counted on the client's threads. */
final class HttpLoad {
    static final int OK = 200;
    private static final int TIMEOUT_SECONDS = 5;
    private static final int OPEN_MAX = 256; // requests at once
    private static final int HISTOGRAM_DIGITS = 3;
    private static final int TENANTS = 1000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final double requestsPerSecond;
    private final Progress progress;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(TIMEOUT_SECONDS))
            .build();
    private long requestCount; // each request has an id of its own

    HttpLoad(double requestsPerSecond, Progress progress) {
        this.requestsPerSecond = requestsPerSecond;
        this.progress = progress;
    }

    /** What came of the requests of one period. */
    static final class Result {
        private final ConcurrentHistogram latencyNanos = new ConcurrentHistogram(HISTOGRAM_DIGITS);
        private final AtomicLong served = new AtomicLong();
        private final AtomicLong unserved = new AtomicLong();
        private final long sent;

        private Result(long sent) {
            this.sent = sent;
        }

        private void ended(long dueNanos, HttpResponse<byte[]> response, Throwable failure) {
            if (failure == null && response.statusCode() == OK) {
                latencyNanos.recordValue(Math.max(0, System.nanoTime() - dueNanos));
                served.incrementAndGet();
            } else {
                unserved.incrementAndGet();
            }
        }

        /** How many requests were sent. */
        long sent() {
            return sent;
        }

        /** How many got an answer of status 200. */
        long served() {
            return served.get();
        }

        long unserved() {
            return unserved.get();
        }

        /** The time that so many percent of those served took at most, from when each was due. */
        long latencyNanosAt(double percentile) {
            return latencyNanos.getValueAtPercentile(percentile);
        }
    }

    /** Sends requests at the rate, however the gateway keeps up; returns once all have ended or timed out. */
    Result send(int port, int seconds) throws InterruptedException {
        Result result = new Result(Math.max(1, (long) (seconds * requestsPerSecond)));
        Semaphore open = new Semaphore(OPEN_MAX);
        long gapNanos = (long) (NANOS_PER_SECOND / requestsPerSecond);
        long began = System.nanoTime();
        for (long i = 0; i < result.sent(); i++) {
            long due = began + i * gapNanos; // latency counts from here, also where the client is late
            TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
            open.acquire();
            client.sendAsync(request(port), HttpResponse.BodyHandlers.ofByteArray())
                    .whenComplete((response, failure) -> {
                        result.ended(due, response, failure);
                        open.release();
                    });
            progress.at("requests", i, result.sent());
        }
        open.tryAcquire(OPEN_MAX, TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return result;
    }

    private HttpRequest request(int port) {
        long number = requestCount++;
        return HttpRequest.newBuilder(uri(port, "/" + FleetSettings.className(0)))
                .header("X-Trace-Id", hexadecimal(number))
                .header("X-Plan", FleetSettings.LARGEST_PLAN)
                .header("X-Customer", hexadecimal(Tenants.id((int) (number % TENANTS))))
                .header("X-Expires-In-Ms", "3000")
                .header("X-Quota", "units=1,spread=1,first=0")
                .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
                .GET()
                .build();
    }

    private static String hexadecimal(long number) {
        return String.format(Locale.ROOT, "%016x", number);
    }

    private static URI uri(int port, String path) {
        return URI.create("http://127.0.0.1:" + port + path);
    }

    /** The answer to a GET; none where nobody answers within a second. */
    Optional<HttpResponse<String>> get(int port, String path) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(uri(port, path))
                .timeout(Duration.ofSeconds(1))
                .build();
        try {
            return Optional.of(client.send(request, HttpResponse.BodyHandlers.ofString()));
        } catch (IOException e) {
            return Optional.empty(); // the gateway does not listen yet
        }
    }
}
