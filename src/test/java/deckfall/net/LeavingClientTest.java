package deckfall.net;

import static deckfall.net.Sockets.bytes;
import static deckfall.net.Sockets.entry;
import static deckfall.net.Sockets.list;
import static deckfall.net.Sockets.view;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import deckfall.net.Sockets.Client;
import deckfall.net.Sockets.Server;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A request whose client leaves while it waits is not sent on; under a new connection: {@link LateConnectionTest}. */
class LeavingClientTest extends SocketTest {
    private static final int TIME = Sockets.PATIENCE_MS;

    /** From now on there is a host, and only what another client asks comes to it. */
    private void assertOnlyOthersAreServed(Node node, int watches) throws Exception {
        Server host = host(SocketTest::echo);
        registry.news.add(list(9, false, entry("late", host.address(), "ready")));
        awaitWatches(watches + 1);
        assertEquals("for w ", client(node).send(view("w", TIME)).receive().text());
        assertEquals(1, host.asked.size());
    }

    @Test
    void inTheQueue() throws Exception {
        Node node = nodeWith();
        awaitWatches(1);
        Client c = client(node).send(view("v", TIME));
        awaitCurrent(node, 1);
        c.close();
        awaitCurrent(node, 0);
        assertOnlyOthersAreServed(node, 1);
    }

    @Test
    void betweenTwoAttempts() throws Exception {
        CountDownLatch noOther = new CountDownLatch(1);
        CountDownLatch turnedAway = new CountDownLatch(1);
        Server full = host((m, s) -> {
            noOther.await(TIME, TimeUnit.MILLISECONDS);
            s.getOutputStream().write(bytes("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"));
            turnedAway.countDown();
        });
        Node node = nodeBefore(full);
        awaitWatches(1);
        Client c = client(node).send(view("v", TIME));
        assertNotNull(full.next());
        awaitCurrent(node, 1);
        registry.news.add(list(2, false, entry("h0", full.address(), "draining")));
        awaitWatches(2);
        noOther.countDown();
        turnedAway.await(TIME, TimeUnit.MILLISECONDS);
        c.close();
        awaitCurrent(node, 0);
        assertOnlyOthersAreServed(node, 2);
    }

    /** A connection that was not read did not tell that its client had left: the request went out all the same. */
    @Test
    void whileItsConnectionIsNotReadForAllThatWasSentAhead() throws Exception {
        Node node = nodeWith();
        awaitWatches(1);
        StringBuilder ahead = new StringBuilder();
        for (int i = 0; i < 24; i++) { // more than are read ahead
            ahead.append(view("v" + i, TIME));
        }
        Client c = client(node).send(ahead.toString());
        awaitCurrent(node, 1);
        c.close();
        awaitCurrent(node, 0);
        assertOnlyOthersAreServed(node, 1);
    }

    @Test
    void whileItsConnectionIsNotReadForItsBadRequests() throws Exception {
        Node node = nodeWith();
        awaitWatches(1);
        String bad = view("b", TIME).replace("units=1", "units=x");
        Client c = client(node).send(bad + bad + bad + view("v", TIME));
        awaitCurrent(node, 1);
        c.close();
        awaitCurrent(node, 0);
        assertOnlyOthersAreServed(node, 1);
    }

    /** What was kept of it while it was not read comes in its order, whole. */
    @Test
    void whatWasSentAheadIsServedWhereItsClientStays() throws Exception {
        Node node = nodeWith();
        awaitWatches(1);
        StringBuilder ahead = new StringBuilder();
        for (int i = 0; i < 100; i++) {
            ahead.append(view("v" + i, TIME));
        }
        Client c = client(node).send(ahead.toString());
        awaitCurrent(node, 1);
        Server host = host(SocketTest::echo);
        registry.news.add(list(9, false, entry("late", host.address(), "ready")));
        for (int i = 0; i < 100; i++) {
            assertEquals("for v" + i + " ", c.receive().text());
        }
    }
}
