package caperrudder.scale;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What has been counted and measured since a phase of the experiment began. Not thread-safe. */
final class PhaseCosts {
    private final EventCost starts = new EventCost();
    private final EventCost timers = new EventCost();
    private final EventCost healthSummaries = new EventCost();
    private final EventCost peerMessages = new EventCost();
    private final EventCost arrivals = new EventCost();
    private final EventCost responses = new EventCost();
    private final EventCost listReads = new EventCost();
    private final EventCost listUpdates = new EventCost();
    private final EventCost lists = new EventCost();
    private final EventCost requests = new EventCost();
    private final Map<Integer, Integer> messagesByReceiver = new HashMap<>();
    private final Set<String> contactedHosts = new HashSet<>();
    private long messagesSent;
    private long messageBytes;
    private long attempts;
    private long attemptsToRestarted;
    private long served;
    private long rejected;
    private long failed;

    /** Starts of gateways. */
    EventCost starts() {
        return starts;
    }

    /** Timers of the policy. */
    EventCost timers() {
        return timers;
    }

    /** The summary of the hosts' health, which the metrics of a real gateway ask for. */
    EventCost healthSummaries() {
        return healthSummaries;
    }

    /** Messages received from other gateways. */
    EventCost peerMessages() {
        return peerMessages;
    }

    /** Requests that came in. */
    EventCost arrivals() {
        return arrivals;
    }

    /** Attempts that ended. */
    EventCost responses() {
        return responses;
    }

    /** The reading of discovery's answers. */
    EventCost listReads() {
        return listReads;
    }

    /** The handing of what was read to the policy. */
    EventCost listUpdates() {
        return listUpdates;
    }

    /** The two before together, as the one event that they are in a real gateway. */
    EventCost lists() {
        return lists;
    }

    /** All events of one request together. */
    EventCost requests() {
        return requests;
    }

    void messageSent(int receiver, int bytes) {
        messagesSent++;
        messageBytes += bytes;
        messagesByReceiver.merge(receiver, 1, Integer::sum);
    }

    void attemptSent(String host, boolean restarted) {
        attempts++;
        attemptsToRestarted += restarted ? 1 : 0;
        contactedHosts.add(host);
    }

    void requestServed() {
        served++;
    }

    void requestRejected() {
        rejected++;
    }

    void requestFailed() {
        failed++;
    }

    long messagesSent() {
        return messagesSent;
    }

    long messageBytes() {
        return messageBytes;
    }

    /** The messages to the gateway that was sent the most. */
    int mostMessagesReceived() {
        return messagesByReceiver.values().stream().mapToInt(n -> n).max().orElse(0);
    }

    int contactedHosts() {
        return contactedHosts.size();
    }

    long attempts() {
        return attempts;
    }

    /** The attempts to hosts that have told when they were started. */
    long attemptsToRestarted() {
        return attemptsToRestarted;
    }

    long served() {
        return served;
    }

    long rejected() {
        return rejected;
    }

    long failed() {
        return failed;
    }

    /** Processor time of all events, in nanoseconds. */
    double totalNanos() {
        return events().stream().mapToDouble(EventCost::totalNanos).sum();
    }

    /** Bytes that all events allocated. */
    double totalBytes() {
        return events().stream().mapToDouble(EventCost::bytes).sum();
    }

    /** The longest event by processor time, in nanoseconds. */
    long longestNanos() {
        return events().stream().mapToLong(EventCost::longestNanos).max().orElse(0);
    }

    /** The longest event by the wall clock, in nanoseconds. */
    long longestWallNanos() {
        return events().stream().mapToLong(EventCost::longestWallNanos).max().orElse(0);
    }

    private List<EventCost> events() {
        return List.of(timers, healthSummaries, peerMessages, arrivals, responses, lists);
    }
}
