package caperrudder.server;

import caperrudder.server.runtime.EventLoopContext;
import caperrudder.server.runtime.ProtectionCounters.Reason;
import java.util.function.Consumer;

/**
 * The timers by which open requests must be answered. A request whose end has not been read is guarded, too: while its
 * host takes nothing its client is not read, and its end may have stood in the socket for as long. On the event loop
 * only.
 */
final class RequestDeadlines {
    private final EventLoopContext eventLoop;
    private final Consumer<OpenRequest> onDeadline;

    /** {@code onDeadline} receives each request whose client's time is up. */
    RequestDeadlines(EventLoopContext eventLoop, Consumer<OpenRequest> onDeadline) {
        this.eventLoop = eventLoop;
        this.onDeadline = onDeadline;
    }

    /** Sets the timer of a request, in place of an earlier one: by its deadline, or by that of its upload. */
    void start(OpenRequest request) {
        Runnable due = request.isComplete() ? () -> onDeadline.accept(request) : () -> uploadDeadlineDue(request);
        double delayMs = request.answerDueAtMs() - eventLoop.clock().now();
        request.setDeadlineTimer(eventLoop.schedule(due, delayMs));
    }

    private void uploadDeadlineDue(OpenRequest request) {
        if (isUploadUnfinished(request)) {
            request.client().readUpload();
        }
        if (!isUploadUnfinished(request)) {
            return;
        }
        if (eventLoop.clock().now() < request.uploadDeadlineAtMs()) {
            start(request);
        } else {
            eventLoop.protections().count(Reason.UPLOAD_STALLED);
            onDeadline.accept(request);
        }
    }

    private static boolean isUploadUnfinished(OpenRequest request) {
        return !request.isClosed() && !request.body().isReceived();
    }
}
