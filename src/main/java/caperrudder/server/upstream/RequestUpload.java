package caperrudder.server.upstream;

import caperrudder.server.http.RequestBody;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/** Sends streamed bodies on one connection, as they come and as fast as the host takes them. */
final class RequestUpload implements RequestBody.Sink {
    /** What may wait to be written: the parts behind it wait in the body, where small ones share buffers. */
    private static final WriteBufferWaterMark UNWRITTEN = new WriteBufferWaterMark(2 * 1024, 4 * 1024);

    private final UpstreamConnection connection;
    private Channel channel;
    private RequestBody body; // null between uploads
    private boolean writing;
    private boolean partSent; // of this body

    RequestUpload(UpstreamConnection connection) {
        this.connection = connection;
    }

    /** Writes the head, and the body as it comes. */
    void start(Channel to, HttpRequest head, RequestBody parts) {
        channel = to;
        partSent = false;
        body = parts;
        channel.config().setWriteBufferWaterMark(UNWRITTEN);
        channel.write(head, channel.voidPromise());
        parts.setSink(this);
    }

    /** Sends what is there, as far as the host takes it. */
    @Override
    public void more() {
        if (body == null || writing) {
            return;
        }
        writing = true; // taking a part lets more come, perhaps at once
        ByteBuf part = nextPart();
        for (; part != null; part = nextPart()) {
            write(part);
        }
        writing = false;
        if (body.isDrained()) {
            stop();
            finish();
        } else {
            channel.flush();
        }
    }

    private ByteBuf nextPart() {
        return channel.isWritable() ? body.poll() : null;
    }

    private void write(ByteBuf part) {
        if (!partSent) {
            connection.bodyPartSent();
        }
        partSent = true;
        channel.write(new DefaultHttpContent(part), channel.voidPromise());
    }

    private void finish() {
        UpstreamExchange exchange = connection.exchange();
        connection.whenSent(exchange, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    /** Sends no more of the body; another attempt may send it from its start. */
    void stop() {
        if (body != null) {
            body.setSink(null);
            body = null;
        }
    }
}
