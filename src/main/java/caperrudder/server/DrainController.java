package caperrudder.server;

import caperrudder.server.downstream.DrainStatus;
import caperrudder.server.runtime.Log;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The graceful shutdown of a gateway (page DEPLOY): when it stops to accept, to serve and to wait. On the event loop,
 * but for {@link #awaitDrained}.
 */
final class DrainController implements DrainStatus {
    private static final Log LOG = Log.of("gateway");
    private static final long POLL_MS = 20; // how often it looks whether all is answered

    /** The server that is drained. */
    interface Target {
        /** Whether it has begun to listen. */
        boolean hasListened();

        /** The future is done once all pending connections are accepted and the listener is closed. */
        ChannelFuture stopAccepting();

        /** Closes each connection without an open request, once its client has its last answer. */
        void closeIdleConnections();

        /** Gives up every attempt and what has come of incomplete requests; answers all else. */
        void abandonOpenRequests();

        /** Whether no request is open and no client connected. */
        boolean isIdle();
    }

    private final EventLoop loop;
    private final DrainTimings timings;
    private final Target target;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean leavingAddress;
    private boolean closingConnections;

    DrainController(EventLoop loop, DrainTimings timings, Target target) {
        this.loop = loop;
        this.timings = timings;
        this.target = target;
    }

    /** Whether a drain without a successor has begun. */
    @Override
    public boolean isLeavingAddress() {
        return leavingAddress;
    }

    @Override
    public boolean isClosingConnections() {
        return closingConnections;
    }

    /** Whether the shutdown has begun: nobody new is served then. */
    boolean hasBegun() {
        return leavingAddress || closingConnections;
    }

    /** Begins the shutdown, at whatever moment: also before anyone was served. */
    void begin(boolean hasServingSuccessor) {
        if (!target.hasListened()) {
            leavingAddress = true;
            drained.countDown();
        } else if (hasServingSuccessor) {
            yieldToSuccessor();
        } else {
            drain();
        }
    }

    /** Accepts and serves on for a while, since clients still come; answers all; then lets the process end. */
    private void drain() {
        leavingAddress = true;
        after(timings.stopAcceptingMs(), target::stopAccepting);
        after(timings.stopServingMs(), this::stopServing);
        after(timings.abandonMs(), target::abandonOpenRequests);
    }

    /** Another process serves at this address: accepts nobody more, and leaves once nobody is connected. */
    private void yieldToSuccessor() {
        LOG.info("yielding to successor process");
        closingConnections = true;
        target.stopAccepting().addListener(f -> awaitIdle()); // pending connections are accepted by then
        after(timings.stopServingMs(), this::stopServing);
        after(timings.abandonMs(), target::abandonOpenRequests);
    }

    private void after(long ms, Runnable step) {
        loop.schedule(step, ms, TimeUnit.MILLISECONDS);
    }

    /** From here on only requests that have come are answered. */
    void stopServing() {
        closingConnections = true;
        target.closeIdleConnections();
        awaitIdle();
    }

    private void awaitIdle() {
        if (target.isIdle()) {
            drained.countDown();
        } else {
            after(POLL_MS, this::awaitIdle);
        }
    }

    /** Waits until all is answered and nobody is connected; false after {@code timeoutMs}. By any thread. */
    boolean awaitDrained(long timeoutMs) throws InterruptedException {
        return drained.await(timeoutMs, TimeUnit.MILLISECONDS);
    }
}
