package caperrudder.policy.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import caperrudder.policy.PolicyHarness;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The order-statistics list beside a sorted set that is walked. */
class RankedEndpointsTest {
    private static final int KEYS = 400; // few, so that many hosts share one

    private static int key(String id) {
        return Math.floorMod(id.hashCode() * 31, KEYS) - KEYS / 2;
    }

    private static List<String> ids(List<Endpoint> hosts) {
        return hosts.stream().map(s -> s.id()).toList();
    }

    @Test
    void findsEndpointsByIdAndByRankAsASortedSetDoes() {
        Random random = new Random(3);
        Comparator<Endpoint> order =
                Comparator.<Endpoint>comparingInt(s -> key(s.id())).thenComparing(s -> s.id());
        TreeSet<Endpoint> expected = new TreeSet<>(order);
        RankedEndpoints ranked = new RankedEndpoints();
        for (int step = 0; step < 40_000; step++) {
            boolean grows = step / 10_000 % 2 == 0; // up to thousands, down to a few, and the same again
            Endpoint s = new Endpoint(PolicyHarness.host("h" + random.nextInt(6000), "a"));
            int key = key(s.id());
            Endpoint known = ranked.find(key, s.id());
            assertEquals(expected.contains(s), known != null);
            if (known == null && (grows || random.nextInt(4) == 0)) {
                ranked.add(key, s);
                expected.add(s);
            } else if (known != null && (!grows || random.nextInt(4) == 0)) {
                ranked.remove(key, known);
                expected.remove(s);
            }
            assertEquals(expected.size(), ranked.size());
            if (step % 500 == 0) compare(ranked, new ArrayList<>(expected), random);
        }
    }

    private static void compare(RankedEndpoints ranked, List<Endpoint> expected, Random random) {
        List<Endpoint> visited = new ArrayList<>();
        ranked.forEach(visited::add);
        assertEquals(ids(expected), ids(visited));
        for (int i = 0; i < 20 && !expected.isEmpty(); i++) {
            int from = random.nextInt(expected.size());
            int count = random.nextInt(1000);
            List<Endpoint> some = new ArrayList<>();
            ranked.copy(from, count, some);
            assertEquals(ids(expected.subList(from, Math.min(expected.size(), from + count))), ids(some));
            assertSame(some.isEmpty() ? ranked.at(from) : some.get(0), ranked.at(from));
            int key = random.nextInt(KEYS) - KEYS / 2;
            assertEquals(expected.stream().filter(s -> key(s.id()) < key).count(), ranked.rank(key));
        }
    }

    @Test
    void anEmptyListFindsNothing() {
        RankedEndpoints ranked = new RankedEndpoints();
        Endpoint s = new Endpoint(PolicyHarness.host("a1", "a"));
        assertNull(ranked.find(1, "a1"));
        assertEquals(0, ranked.rank(Integer.MAX_VALUE));
        ranked.add(1, s);
        ranked.remove(1, s);
        ranked.remove(1, s);
        assertEquals(0, ranked.size());
        assertNull(ranked.find(1, "a1"));
    }
}
