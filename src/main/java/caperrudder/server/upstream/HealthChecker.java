package caperrudder.server.upstream;

import caperrudder.api.Outcome;
import caperrudder.server.runtime.EventLoopContext;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Checks the health of single hosts on request, and reads the load that they report. On the event loop only. */
public final class HealthChecker {
    private static final String HEALTH_PATH = "/healthz";
    private static final String LOAD_PATH = "/load"; // in its place, where the settings name fields of a load report
    private static final long TIMEOUT_MS = 250;
    private static final double[] NO_REPORT = {};

    private final EventLoopContext eventLoop;
    private final UpstreamClient client;
    private final LoadReportParser reports;
    private final HealthCheckListener listener;
    private final String path;

    public HealthChecker(
            EventLoopContext eventLoop, UpstreamClient client, LoadReportParser reports, HealthCheckListener listener) {
        this.eventLoop = eventLoop;
        this.client = client;
        this.reports = reports;
        this.listener = listener;
        this.path = reports.isEmpty() ? HEALTH_PATH : LOAD_PATH;
    }

    /** Asks the host; the listener is notified once, perhaps before this returns. */
    public void check(String host) {
        HealthCheck check = new HealthCheck(host, eventLoop.clock().now());
        client.start(host, check, connection -> connection.write(check, request()));
        eventLoop.loop().schedule(check::timeOut, TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private FullHttpRequest request() {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, ForwardedRequestWriter.HOST);
        return request;
    }

    private final class HealthCheck extends UpstreamExchange {
        private final String host;
        private final double sentAtMs;
        private boolean over;

        HealthCheck(String host, double sentAtMs) {
            this.host = host;
            this.sentAtMs = sentAtMs;
        }

        void timeOut() {
            if (isUnderWay()) {
                abandon();
                ended(Outcome.TIMEOUT, null);
            }
        }

        @Override
        protected void ended(Outcome outcome, FullHttpResponse response) {
            if (over) {
                return;
            }
            over = true;
            double latencyMs = eventLoop.clock().now() - sentAtMs;
            double[] report = response == null
                    ? NO_REPORT
                    : reports.parse(response.content().toString(StandardCharsets.US_ASCII));
            listener.healthCheckEnded(host, outcome, latencyMs, report);
        }
    }
}
