package caperrudder.server.upstream;

import caperrudder.api.Outcome;
import caperrudder.server.GatewayServer;
import caperrudder.server.OpenRequest;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;

/** One attempt of an open request at one host. */
public final class UpstreamAttempt extends UpstreamConnection.Exchange {
    private static final int LONG_BYTES = 64 * 1024; // the protocol's: up to here the last byte has to come in time

    public final OpenRequest owner;
    public final int number;
    public final String host;
    private double sentAt; // of a body on its way, the last byte
    private double firstAt; // of an answer that is passed on, the first bytes
    private HttpResponse passed;
    private long passedBytes;
    private final GatewayServer node;
    public boolean ended;
    private Future<?> timeout;

    public UpstreamAttempt(GatewayServer node, OpenRequest owner, String host, double sentAt) {
        this.node = node;
        this.owner = owner;
        this.number = owner.attempts.size();
        this.host = host;
        this.sentAt = sentAt;
    }

    /** Its end stops this timer, or there would be one for each attempt of the last minutes. */
    public void limit(Future<?> timer) {
        timeout = timer;
    }

    public void stopTimer() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    @Override
    boolean isWanted() {
        return node.isAwaited(owner);
    }

    @Override
    void written() {
        node.tally().sent();
        if (!owner.body.isBuffered()) {
            sentAt = node.clock.now();
        }
    }

    @Override
    void bodyLeft() {
        node.bodyLeft(this);
    }

    @Override
    boolean begun(HttpResponse head) {
        firstAt = node.clock.now();
        passed = head;
        return node.answerBegun(this, head);
    }

    @Override
    void part(ByteBuf part) {
        passedBytes += part.readableBytes();
        node.answerPart(this, part);
    }

    /** From the request's last byte to the answer, or to the first bytes of one that is passed on. */
    public double took(double now) {
        return (passed == null ? now : firstAt) - sentAt;
    }

    /** Whether what is passed on is an answer so long that the client's time is for its first bytes alone. */
    public boolean isLong() {
        return passedBytes > LONG_BYTES || passed != null && HttpUtil.getContentLength(passed, 0L) > LONG_BYTES;
    }

    /** The head of what the host answered; null where nothing came. */
    public HttpResponse told(HttpResponse response) {
        return response == null ? passed : response;
    }

    @Override
    void ended(Outcome outcome, FullHttpResponse response) {
        node.attemptEnded(this, outcome, response);
    }
}
