package caperrudder.server.upstream;

import caperrudder.api.Outcome;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Something asked of a host that ends exactly once; its owner ignores what comes after. On the event loop only.
 */
public abstract class UpstreamExchange {
    private UpstreamConnection connection;

    /** Whether it is still to be sent, where its connection took time to come up. */
    protected boolean isWanted() {
        return true;
    }

    /** Its last byte has left for the host. */
    protected void requestSent() {}

    /** A part of a body that is kept nowhere has left. */
    protected void bodyPartSent() {}

    /** The head of a response too long to be buffered: whether its parts are taken as they come. */
    protected boolean responseStarted(HttpResponse head) {
        return false;
    }

    /** A part of such a response, which is taken over. */
    protected void responsePart(ByteBuf part) {
        part.release();
    }

    /** How it ended; the response, which is null where there is none, is only lent. */
    protected abstract void ended(Outcome outcome, FullHttpResponse response);

    /** Whether the response is to be read on. */
    public final void setReading(boolean reading) {
        if (connection != null) {
            connection.setReading(reading);
        }
    }

    /** Whether it is on a connection, up or coming up, and has not ended. */
    final boolean isUnderWay() {
        return connection != null;
    }

    final void assignedTo(UpstreamConnection assigned) {
        connection = assigned;
    }

    final void released() {
        connection = null;
    }

    /** Stops waiting: its connection closes, so late bytes can never reach another request. */
    public final void abandon() {
        UpstreamConnection abandoned = connection;
        connection = null;
        if (abandoned != null) {
            abandoned.abandoned();
        }
    }
}
