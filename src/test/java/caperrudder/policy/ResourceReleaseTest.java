package caperrudder.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import caperrudder.api.Outcome;
import caperrudder.api.QuotaSnapshot;
import caperrudder.api.Request;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Whatever a request takes of the policy is given back once, in any order of decision, deadline, client's end and
 * host's end. Guards against slots that were held for good after short stalls (docs/incidents/slots-never-returned.md).
 */
class ResourceReleaseTest {
    private static final int STEPS = 1500;
    private static final int CUSTOMERS = 6;
    private static final int MAX_LIVE = 25;
    private static final double CLIENT_TIMEOUT_MS = 250;
    private static final List<String> PLANS = List.of("small", "capped", "open", "free");
    private static final List<String> CLASSES = List.of("read", "pay", "order");
    private static final int CEILING_CUSTOMER = 1; // has the plan with a ceiling
    private static final int CEILING_BURST_UNITS = 40; // of the plan
    private static final double CEILING_FULL_MS = 4000;
    private static final double UNITS_TOLERANCE = 1e-6;

    /** A request at the server: it reports the ends of the attempts that it was asked to send, in any order. */
    private static final class LiveRequest {
        final String id;
        final double units;
        boolean bodyPending;
        boolean terminated;
        int attemptsEnded;

        LiveRequest(String id, double units, boolean bodyPending) {
            this.id = id;
            this.units = units;
            this.bodyPending = bodyPending;
        }
    }

    /** Draws what happens next; the peer that owns half of the quotas never replies. */
    private static final class RandomServer {
        final PolicyHarness harness = new PolicyHarness(1000, PolicyHarness.settings(0, 2)).withHosts("a1", "a2", "b1");
        final List<LiveRequest> live = new ArrayList<>();
        final Random random;
        double deliveredUnits;
        int requests;

        RandomServer(long seed) {
            random = new Random(seed);
        }

        void step() {
            int choice = random.nextInt(10);
            if (choice < 4 && live.size() < MAX_LIVE) {
                receive();
            } else if (choice == 4) {
                harness.advance(random.nextInt(60));
            } else if (choice == 5 && random.nextInt(4) == 0) {
                harness.now += 140; // the event loop stalls, and its timers fire late
                harness.advance(0);
            } else if (!live.isEmpty()) {
                act(live.get(random.nextInt(live.size())));
            }
            removeAnswered();
        }

        private void receive() {
            boolean bodyPending = random.nextInt(3) == 0;
            LiveRequest request = new LiveRequest("r" + requests++, 1 + random.nextInt(4), bodyPending);
            live.add(request);
            int customer = random.nextInt(CUSTOMERS); // a customer keeps its plan
            String plan = PLANS.get(customer % PLANS.size());
            int gateways = plan.equals("capped") ? 1 : 2; // this one has all of the ceiling, and a part of other quotas
            harness.policy.requestReceived(
                    harness.now,
                    new Request(
                            request.id,
                            harness.now + CLIENT_TIMEOUT_MS,
                            harness.now,
                            false,
                            CLASSES.get(random.nextInt(CLASSES.size())),
                            customer,
                            plan,
                            request.units,
                            0,
                            gateways,
                            bodyPending));
        }

        private void act(LiveRequest request) {
            switch (random.nextInt(6)) {
                case 0 -> completeBody(request);
                case 1 -> clientLeaves(request);
                case 2 -> terminate(request);
                case 3 -> harness.policy.requestNotReplayable(harness.now, request.id);
                case 4 -> startResponse(request);
                default -> endAttempt(request);
            }
        }

        private void completeBody(LiveRequest request) {
            if (request.bodyPending) {
                request.bodyPending = false;
                harness.policy.requestBodyCompleted(harness.now, request.id, harness.now + CLIENT_TIMEOUT_MS);
            }
        }

        private void clientLeaves(LiveRequest request) {
            countUnits(request);
            harness.policy.clientDisconnected(harness.now, request.id);
            while (hasOpenAttempt(request)) {
                report(request, Outcome.CANCELLED);
            }
            live.remove(request);
        }

        /** The deadline: at times with the end of an attempt that the server does not know. */
        void terminate(LiveRequest request) {
            countUnits(request);
            harness.policy.requestTerminated(harness.now, request.id);
            harness.policy.requestTerminated(harness.now, request.id);
            live.remove(request);
        }

        private void startResponse(LiveRequest request) {
            if (hasOpenAttempt(request)) {
                harness.policy.responseStarted(harness.now, request.id, request.attemptsEnded);
            }
        }

        private void endAttempt(LiveRequest request) {
            if (hasOpenAttempt(request)) {
                Outcome[] outcomes = Outcome.values();
                report(request, outcomes[random.nextInt(outcomes.length)]);
            }
        }

        private void report(LiveRequest request, Outcome outcome) {
            if (outcome == Outcome.OK) {
                countUnits(request);
                live.remove(request);
            }
            harness.endAttempt(request.id, request.attemptsEnded++, outcome, 5);
        }

        private boolean hasOpenAttempt(LiveRequest request) {
            return harness.attemptsOf(request.id) > request.attemptsEnded;
        }

        /** What a host may have received whole stays charged. */
        private void countUnits(LiveRequest request) {
            if (!request.terminated && harness.attemptsOf(request.id) > 0 && !request.bodyPending) {
                deliveredUnits += request.units;
            }
            request.terminated = true;
        }

        private void removeAnswered() {
            for (LiveRequest request : List.copyOf(live)) {
                if (harness.finalAnswersTo(request.id) > 0) {
                    countUnits(request);
                    live.remove(request);
                }
            }
        }

        double usedUnits() {
            return harness.policy.takeSnapshot(harness.now).quotas().stream()
                    .mapToDouble(QuotaSnapshot::usedUnits)
                    .sum();
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void everythingIsGivenBackOnceInAnyOrder(long seed) {
        RandomServer server = new RandomServer(seed);
        for (int i = 0; i < STEPS; i++) {
            server.step();
            int held = server.harness.policy.load().pendingRequests();
            assertEquals(server.live.size(), held, "after step " + i);
            assertTrue(server.harness.policy.load().slotsInUse() >= 0, "slots after step " + i);
            assertTrue(server.harness.policy.load().slotsInUse() <= held, "slots after step " + i);
        }
        List.copyOf(server.live).forEach(server::terminate);
        server.harness.advance(1000);
        assertEquals(0, server.harness.policy.load().pendingRequests());
        assertEquals(0, server.harness.policy.load().slotsInUse());
        assertEquals(server.deliveredUnits, server.usedUnits(), UNITS_TOLERANCE);
        assertConcurrencyQuotaIsFree(server.harness);
        assertCeilingHoldsNoMoreThanItsBurst(server.harness);
    }

    /** Whatever was refunded before, a customer that rested gets no more at once than the ceiling's burst. */
    private static void assertCeilingHoldsNoMoreThanItsBurst(PolicyHarness harness) {
        harness.advance(CEILING_FULL_MS);
        int before = harness.sent.size();
        for (int i = 0; i < 2 * CEILING_BURST_UNITS; i++) {
            String id = "ceiling" + i;
            harness.request(id, "read", "capped", CEILING_CUSTOMER, 1, 1);
            if (harness.attemptsOf(id) > 0) harness.endAttempt(id, 0, Outcome.OK, 5);
        }
        int attempts = harness.sent.size() - before;
        assertTrue(attempts > 0 && attempts <= CEILING_BURST_UNITS, "attempts at once: " + attempts);
    }

    /** The plan with a concurrency limit of 2 admits two again, and no third. */
    private static void assertConcurrencyQuotaIsFree(PolicyHarness harness) {
        for (String id : List.of("first", "second", "third")) {
            harness.request(id, "read", "open", 99, 1, 1);
        }
        assertEquals(1, harness.attemptsOf("first"));
        assertEquals(1, harness.attemptsOf("second"));
        assertEquals(0, harness.attemptsOf("third"));
    }

    /** The owner's reply is awaited no longer than the request can wait, however long this gateway was stalled. */
    @Test
    void aStallDoesNotMoveADecisionBehindTheDeadline() {
        PolicyHarness harness = new PolicyHarness(1000, PolicyHarness.settings(0, 2)).withHosts("a1");
        for (int i = 0; i < 40; i++) {
            harness.policy.requestReceived(
                    harness.now,
                    new Request(
                            "r" + i, harness.now + CLIENT_TIMEOUT_MS, harness.now, false, "read", i, "small", 1, 0, 2));
        }
        harness.now += 140;
        harness.advance(CLIENT_TIMEOUT_MS - 140);
        for (int i = 0; i < 40; i++) {
            String id = "r" + i;
            assertEquals(1, harness.attemptsOf(id) + harness.finalAnswersTo(id), id + " was not decided in time");
        }
    }
}
