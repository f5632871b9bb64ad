package caperrudder.scale;

import caperrudder.api.HostListKind;
import caperrudder.api.PolicyEvents;
import caperrudder.api.Settings;
import caperrudder.policy.TrafficPolicy;
import caperrudder.server.discovery.EndpointLists;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** The real module and the real reading of lists without sockets: each event is told alone, and measured. */
final class SimulatedGateway {
    /** Something that the module is told. */
    interface Event {
        void tell(PolicyEvents module);
    }

    final int number;
    private final RecordedActions outbox = new RecordedActions();
    private final TrafficPolicy module = new TrafficPolicy(outbox);
    private final RecordedActions.Carrier carrier;
    private EndpointLists lastRead;
    private long nanos; // of the last event, as are the next two
    private long bytes;
    private long wallNanos;

    SimulatedGateway(Settings settings, RecordedActions.Carrier carrier) {
        this.number = settings.gatewayIndex();
        this.carrier = carrier;
    }

    /** Tells the module, then carries out what it did; {@code cost} is the kind that the event belongs to. */
    void tell(EventCost cost, Event event) {
        measure(cost, () -> event.tell(module));
        outbox.empty(carrier);
    }

    /** Reads an answer of discovery and tells the module: one event of the loop, as in the real gateway. */
    void tellHosts(EventCost reading, EventCost telling, EventCost both, double nowMs, byte[] text) {
        measure(reading, () -> read(text));
        long readNanos = nanos;
        long readBytes = bytes;
        long readWallNanos = wallNanos;
        EndpointLists list = lastRead;
        lastRead = null; // what is held later is the module's alone
        tell(telling, m -> m.hostsUpdated(nowMs, list.full() ? HostListKind.FULL : HostListKind.CHANGES, list.hosts()));
        both.add(readNanos + nanos, readBytes + bytes, readWallNanos + wallNanos);
    }

    private void read(byte[] text) {
        try {
            lastRead = EndpointLists.read(new ByteArrayInputStream(text));
        } catch (IOException e) {
            throw new UncheckedIOException(e); // the stand-in's own text
        }
    }

    private void measure(EventCost cost, Runnable work) {
        long wall = System.nanoTime();
        long allocated = EventCost.threadBytes();
        long cpu = EventCost.threadNanos();
        work.run();
        nanos = EventCost.threadNanos() - cpu;
        bytes = EventCost.threadBytes() - allocated;
        wallNanos = System.nanoTime() - wall;
        cost.add(nanos, bytes, wallNanos);
    }

    /** Processor time of the last event, in nanoseconds. */
    long lastNanos() {
        return nanos;
    }

    long lastBytes() {
        return bytes;
    }
}
