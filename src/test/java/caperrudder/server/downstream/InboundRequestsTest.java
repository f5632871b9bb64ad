package caperrudder.server.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.server.downstream.InboundMessage.InboundRequest;
import caperrudder.server.http.HeadMemory;
import caperrudder.server.http.RequestBody;
import caperrudder.server.runtime.BufferBudget;
import caperrudder.server.runtime.Clock;
import caperrudder.server.runtime.EventLoopContext;
import caperrudder.server.runtime.ProtectionCounters;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What is read of a client while its request waits its turn. */
class InboundRequestsTest {
    private static final int MEMORY_MB = 16; // of which a sixteenth may be held
    private static final int HELD_FOR_LONG_BYTES = 600_000; // so that little may be kept ahead
    private static final int HELD_AT_FIRST_BYTES = 500_000;
    private static final int BODY_BYTES = 100_000;
    private static final int PIECE_BYTES = 6000;

    private final BufferBudget budget = new BufferBudget(MEMORY_MB);
    private final List<InboundMessage> messages = new ArrayList<>();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final InboundRequests inbound = new InboundRequests(
            channel,
            new EventLoopContext(new Clock(), null, null, null, null, budget, new ProtectionCounters()),
            new HeadMemory(Long.MAX_VALUE));

    /** A body that was full while others held memory was cut off behind what was kept, and refused as pipelined. */
    @Test
    void bodyThatWaitsItsTurnIsNotCutOffWhenMemoryIsFreed() {
        inbound.addTo(channel.pipeline());
        channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                messages.add((InboundMessage) message);
                inbound.add((InboundMessage) message);
                inbound.regulate();
            }
        });
        ByteBuf heldForLong = budget.allocator().directBuffer(HELD_FOR_LONG_BYTES);
        ByteBuf heldAtFirst = budget.allocator().directBuffer(HELD_AT_FIRST_BYTES);
        channel.writeInbound(Unpooled.copiedBuffer(
                "POST /order/x HTTP/1.1\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n", StandardCharsets.US_ASCII));
        channel.writeInbound(piece());
        inbound.regulate();
        channel.writeInbound(piece());
        assertTrue(inbound.isPaused(), "the body is full");
        heldAtFirst.release();

        InboundRequest request = assertInstanceOf(InboundRequest.class, inbound.next());
        inbound.begin(request.body());
        inbound.readSocket();
        channel.runPendingTasks();
        for (int sent = 2 * PIECE_BYTES; sent < BODY_BYTES; sent += PIECE_BYTES) {
            channel.writeInbound(piece().slice(0, Math.min(PIECE_BYTES, BODY_BYTES - sent)));
            takeAll(request.body());
        }
        for (int i = 0; i < BODY_BYTES && !request.body().isDrained(); i++) {
            takeAll(request.body()); // as often as the window is filled
        }
        assertEquals(List.of(request), messages);
        assertEquals(BODY_BYTES, takenBytes);
        assertTrue(request.body().isComplete());
        request.release();
        heldForLong.release();
    }

    private int takenBytes;

    private void takeAll(RequestBody body) {
        for (ByteBuf part = body.poll(); part != null; part = body.poll()) {
            takenBytes += part.readableBytes();
            part.release();
        }
        channel.runPendingTasks();
    }

    private ByteBuf piece() {
        return budget.allocator().directBuffer(PIECE_BYTES).writeZero(PIECE_BYTES);
    }
}
