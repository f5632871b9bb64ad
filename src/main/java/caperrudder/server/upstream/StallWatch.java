package caperrudder.server.upstream;

import caperrudder.server.runtime.Clock;
import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Watches responses that have begun on one connection. A host that stops inside its response keeps the connection
 * open, so nothing else would ever tell.
 */
final class StallWatch {
    private static final long STALLED_MS = 250; // without a byte, a response that has begun is none
    private static final long STREAM_STALLED_MS = 5000; // one that is streamed already has nothing to lose
    private static final long BUFFERED_MAX_MS = 1000; // what comes in pieces for longer than this is streamed

    private final UpstreamConnection connection;
    private final Clock clock;
    private double startedAtMs; // when the first byte of the response came
    private double progressAtMs; // when the last one did
    private Future<?> timer;

    StallWatch(UpstreamConnection connection, Clock clock) {
        this.connection = connection;
        this.clock = clock;
    }

    /** Something has come; {@code first}: of a response of which nothing had. */
    void bytesReceived(boolean first) {
        progressAtMs = clock.now();
        startedAtMs = first ? progressAtMs : startedAtMs;
    }

    /** Reading was stopped or goes on: the client's pace is no silence of the host. */
    void readingChanged() {
        progressAtMs = clock.now();
    }

    /** Watches the response of this exchange, which has begun, unless that is done already. */
    void start(Channel channel, UpstreamExchange exchange) {
        if (timer == null) {
            schedule(channel, exchange, STALLED_MS);
        }
    }

    void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void schedule(Channel channel, UpstreamExchange exchange, double afterMs) {
        timer = channel.eventLoop().schedule(() -> check(channel, exchange), (long) afterMs, TimeUnit.MILLISECONDS);
    }

    private void check(Channel channel, UpstreamExchange exchange) {
        timer = null;
        if (!connection.isReceiving(exchange)) {
            return;
        }
        double now = clock.now();
        progressAtMs = channel.config().isAutoRead() ? progressAtMs : now;
        double quietMs = now - progressAtMs;
        double limitMs = connection.isStreamingResponse() ? STREAM_STALLED_MS : STALLED_MS;
        if (quietMs >= limitMs) {
            connection.malformed();
            return;
        }
        if (now - startedAtMs > BUFFERED_MAX_MS) {
            connection.streamBufferedResponse();
        }
        if (connection.carries(exchange)) {
            schedule(channel, exchange, Math.max(1, limitMs - quietMs));
        }
    }
}
