package caperrudder.scale;

import caperrudder.api.HostListKind;
import caperrudder.api.PolicyActions;
import caperrudder.api.PolicyEvents;
import caperrudder.api.Settings;
import caperrudder.policy.TrafficPolicy;
import caperrudder.server.discovery.EndpointLists;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * The real policy and the real reader of endpoint lists without sockets. Each event runs alone and is measured; what the
 * policy did is carried out after it, unmeasured. Not thread-safe.
 */
final class SimulatedGateway {
    /** An event that the policy receives. */
    interface Event {
        void deliverTo(PolicyEvents policy);
    }

    private final int index;
    private final RecordedActions actions = new RecordedActions();
    private final TrafficPolicy policy = new TrafficPolicy(actions);
    private final PolicyActions environment;
    private EndpointLists lastRead;
    private long lastNanos;
    private long lastBytes;
    private long lastWallNanos;

    /** {@code environment} carries out the policy's actions, in order; it may not call the gateway at once. */
    SimulatedGateway(Settings settings, PolicyActions environment) {
        this.index = settings.gatewayIndex();
        this.environment = environment;
    }

    /** Its number among the gateways of the fleet. */
    int index() {
        return index;
    }

    /** Delivers an event, then carries out what the policy did; {@code cost} is of the event's kind. */
    void deliver(EventCost cost, Event event) {
        measure(cost, () -> event.deliverTo(policy));
        actions.replay(environment);
    }

    /** Reads an answer of discovery and delivers it: one event of the loop, as in the real gateway. */
    void deliverList(PhaseCosts costs, double nowMs, byte[] text) {
        measure(costs.listReads(), () -> read(text));
        long readNanos = lastNanos;
        long readBytes = lastBytes;
        long readWallNanos = lastWallNanos;
        EndpointLists list = lastRead;
        lastRead = null; // so that what stays in memory is the policy's alone
        HostListKind kind = list.full() ? HostListKind.FULL : HostListKind.CHANGES;
        deliver(costs.listUpdates(), policyEvents -> policyEvents.hostsUpdated(nowMs, kind, list.hosts()));
        costs.lists().add(readNanos + lastNanos, readBytes + lastBytes, readWallNanos + lastWallNanos);
    }

    private void read(byte[] text) {
        try {
            lastRead = EndpointLists.read(new ByteArrayInputStream(text));
        } catch (IOException e) {
            throw new UncheckedIOException("the simulated discovery wrote what can't be read", e);
        }
    }

    private void measure(EventCost cost, Runnable work) {
        long wall = System.nanoTime();
        long allocated = EventCost.threadBytes();
        long cpu = EventCost.threadNanos();
        work.run();
        lastNanos = EventCost.threadNanos() - cpu;
        lastBytes = EventCost.threadBytes() - allocated;
        lastWallNanos = System.nanoTime() - wall;
        cost.add(lastNanos, lastBytes, lastWallNanos);
    }

    /** Processor time of the last event, in nanoseconds. */
    long lastNanos() {
        return lastNanos;
    }

    /** Bytes that the last event allocated. */
    long lastBytes() {
        return lastBytes;
    }
}
