package caperrudder.server.upstream;

import caperrudder.server.http.DiscardedHeaders;
import caperrudder.server.http.StrictHeaders;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/** Decodes hosts' responses; their header lines may hold anything but what leaves their length open. */
final class HostResponseDecoder extends HttpResponseDecoder {
    private static final HttpHeadersFactory HEADERS = StrictHeaders.ofResponses(List.of(
            LoadReportParser.LOAD_HEADER, LoadReportParser.QUOTA_USED_HEADER, ResponseAssembler.NEVER_RAN_HEADER));

    private final UpstreamConnection connection;

    HostResponseDecoder(UpstreamConnection connection) {
        super(new HttpDecoderConfig().setHeadersFactory(HEADERS).setTrailersFactory(DiscardedHeaders.factory()));
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) throws Exception {
        if (!connection.isInUse()) { // nobody asked, or nobody waits any more: also half a message is one too many
            ReferenceCountUtil.release(bytes);
            connection.close();
            return;
        }
        connection.bytesReceived();
        super.channelRead(ctx, bytes);
    }

    /** The decoder takes a line with a blank and no colon for a name and no value; such a head is malformed. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("no colon behind a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Whether something stands behind what was decoded last. */
    boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }
}
