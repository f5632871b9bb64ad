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

/** Compares the list with a sorted set as the reference. */
class RankedEndpointsTest {
    private static final int KEYS = 400; // far fewer than hosts, so that keys collide

    private static int key(String id) {
        return Math.floorMod(id.hashCode() * 31, KEYS) - KEYS / 2;
    }

    private static List<String> ids(List<Endpoint> endpoints) {
        return endpoints.stream().map(endpoint -> endpoint.id()).toList();
    }

    @Test
    void findsAndCopiesTheSameEndpointsAsASortedSet() {
        Random random = new Random(3);
        Comparator<Endpoint> order = Comparator.<Endpoint>comparingInt(endpoint -> key(endpoint.id()))
                .thenComparing(endpoint -> endpoint.id());
        TreeSet<Endpoint> expected = new TreeSet<>(order);
        RankedEndpoints ranked = new RankedEndpoints();
        for (int step = 0; step < 40_000; step++) {
            boolean grows = step / 10_000 % 2 == 0; // grows and shrinks twice, between few and thousands
            Endpoint endpoint = new Endpoint(PolicyHarness.host("h" + random.nextInt(6000), "a"));
            int key = key(endpoint.id());
            Endpoint known = ranked.find(key, endpoint.id());
            assertEquals(expected.contains(endpoint), known != null);
            if (known == null && (grows || random.nextInt(4) == 0)) {
                ranked.add(key, endpoint);
                expected.add(endpoint);
            } else if (known != null && (!grows || random.nextInt(4) == 0)) {
                ranked.remove(key, known);
                expected.remove(endpoint);
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
            List<Endpoint> copied = new ArrayList<>();
            ranked.copyTo(from, count, copied);
            assertEquals(ids(expected.subList(from, Math.min(expected.size(), from + count))), ids(copied));
            assertSame(copied.isEmpty() ? ranked.get(from) : copied.get(0), ranked.get(from));
            int key = random.nextInt(KEYS) - KEYS / 2;
            assertEquals(
                    expected.stream()
                            .filter(endpoint -> key(endpoint.id()) < key)
                            .count(),
                    ranked.rankOfKey(key));
        }
    }

    @Test
    void anEmptyOrEmptiedListContainsNoEndpoint() {
        RankedEndpoints ranked = new RankedEndpoints();
        Endpoint endpoint = new Endpoint(PolicyHarness.host("a1", "a"));
        assertNull(ranked.find(1, "a1"));
        assertEquals(0, ranked.rankOfKey(Integer.MAX_VALUE));
        ranked.add(1, endpoint);
        ranked.remove(1, endpoint);
        ranked.remove(1, endpoint);
        assertEquals(0, ranked.size());
        assertNull(ranked.find(1, "a1"));
    }
}
