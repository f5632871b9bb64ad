package caperrudder.server;

import static caperrudder.server.DiscoveryAgent.entry;
import static caperrudder.server.DiscoveryAgent.list;
import static caperrudder.server.TestRequests.view;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What comes between the start of a connection to a host and its end: it comes up only when a test lets it. */
class LateConnectionTest extends GatewaySocketTest {

    /** A host that takes connections only once it is let: until then its queue is full. */
    private static final class Shut implements Closeable {
        private static final int FULL_MS = 300;
        private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> fillers = new ArrayList<>();

        Shut() throws IOException {
            boolean full = false;
            while (!full) {
                Socket s = new Socket();
                fillers.add(s);
                try {
                    s.connect(new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()), FULL_MS);
                } catch (SocketTimeoutException e) {
                    full = true;
                }
            }
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** What a gateway sent first once what was to happen meanwhile has; nothing where it ended that first. */
        String first(int bytes, Closeable meanwhile) throws IOException {
            int standing = fillers.size() - 1;
            for (int i = 0; i < standing; i++) {
                listener.accept().close();
            }
            listener.setSoTimeout(GatewaySocketTest.TIMEOUT_MS);
            try (Socket s = listener.accept()) {
                meanwhile.close();
                s.setSoTimeout(GatewaySocketTest.TIMEOUT_MS);
                return new String(s.getInputStream().readNBytes(bytes), StandardCharsets.US_ASCII);
            }
        }

        String first(int bytes) throws IOException {
            return first(bytes, () -> {});
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket s : fillers) {
                s.close();
            }
        }
    }

    /** The message was once written without another look at the list. */
    @ParameterizedTest
    @ValueSource(strings = {"draining", "gone"})
    void connectionUpAfterItsHostDrainsCarriesNothing(String state) throws Exception {
        Shut late = closeAtEnd(new Shut());
        ScriptedServer fresh = host(GatewaySocketTest::echo);
        GatewayServer node = gatewayListing(entry("h0", late.address(), "ready"));
        awaitWatches(1);
        TestClient c = client(node).send(view("v", GatewaySocketTest.TIMEOUT_MS));
        awaitOpenRequests(node, 1);
        discovery
                .updates()
                .add(list(2, false, entry("h0", late.address(), state), entry("h1", fresh.address(), "ready")));
        awaitWatches(2);
        assertEquals("", late.first(1));
        assertEquals("for v ", c.receive().text());
        assertEquals(1, fresh.requests().size());
    }

    /** Where attempts may not be cancelled its connection still comes up; nothing was sent that could be cancelled. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestIsNotSentWhenItsClientLeavesDuringAConnect(boolean cancel) throws Exception {
        Shut late = closeAtEnd(new Shut());
        discovery = closeAtEnd(new DiscoveryAgent(list(1, true, entry("h0", late.address(), "ready"))));
        GatewayServer node =
                TestGateways.start(TestGateways.config(discovery.server().address(), "127.0.0.1:0")
                        .replace("\"cancel\": true", "\"cancel\": " + cancel));
        closeAtEnd(node::stop);
        TestClient c = client(node).send(view("v", GatewaySocketTest.TIMEOUT_MS));
        awaitOpenRequests(node, 1);
        c.close();
        awaitOpenRequests(node, 0);
        if (cancel) { // else nothing would come
            TestClient next = client(node).send(view("w", GatewaySocketTest.TIMEOUT_MS));
            awaitOpenRequests(node, 1);
            assertEquals("GET /view/w?z=3", late.first("GET /view/w?z=3".length()));
            next.close();
        } else {
            assertEquals("", late.first(1));
        }
    }

    /** The loop comes to the connection first, and only then to the client that left meanwhile. */
    @Test
    void requestIsNotSentWhenItsClientsEndIsUnreadAtTheConnect() throws Exception {
        Shut late = closeAtEnd(new Shut());
        GatewayServer node = gatewayListing(entry("h0", late.address(), "ready"));
        awaitWatches(1);
        TestClient c = client(node).send(view("v", GatewaySocketTest.TIMEOUT_MS));
        awaitOpenRequests(node, 1);
        CountDownLatch left = blockEventLoop(node);
        assertEquals("", late.first(1, () -> {
            c.close();
            left.countDown();
        }));
    }
}
