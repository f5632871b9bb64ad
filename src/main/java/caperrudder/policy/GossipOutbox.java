package caperrudder.policy;

import caperrudder.api.PolicyActions;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Counts, batches and sends the messages to other gateways within what these take in, and tells which messages of
 * theirs are new. What a message says of a customer is another's to decide.
 */
final class GossipOutbox {
    private static final double INTAKE_SHARE = 0.8; // of a gateway's intake that is used: bursts fit in the rest
    private static final double BURST_MS = 150; // time's worth of messages that may leave at once
    private static final double LONGEST_GAP_MS = 50; // between messages to a peer, where it bounds them
    private static final int MESSAGE_BYTES = 256; // at most
    private static final double CLOCKS_APART_MS = 60_000; // a life that begins later than this is no life

    /** Writes the entry of one customer in a message. */
    interface Entries {
        QuotaEntry of(PeerState peer, CustomerQuota customer, boolean answers);
    }

    private final int gateways;
    private final PolicyActions actions;
    private final double perMs;
    private final int epoch;
    private final ArrayDeque<PeerState> waiting = new ArrayDeque<>();
    private double allowance;
    private double refilledAt;

    GossipOutbox(double now, int gateways, double intakePerSecond, PolicyActions actions) {
        this.gateways = gateways;
        this.actions = actions;
        this.perMs = Math.max(1, intakePerSecond) * INTAKE_SHARE / 1000;
        this.epoch = (int) (long) now;
        this.refilledAt = now;
    }

    /** This life of the gateway, as its messages name it. */
    int epoch() {
        return epoch;
    }

    /** A message to a peer is due, on a customer where one is named. */
    void queue(PeerState peer, CustomerQuota customer) {
        if (customer != null) peer.tells.add(customer);
        if (!peer.waiting) waiting.addLast(peer);
        peer.waiting = true;
    }

    /** Questions take half of the intake, since each brings an answer; answers only keep the shortest gap. */
    void post(double now, Entries entries) {
        allowance = Math.min(Math.max(1, perMs * BURST_MS), allowance + (now - refilledAt) * perMs / 2);
        refilledAt = now;
        double gap = Math.min(LONGEST_GAP_MS, (gateways - 1) / perMs);
        for (PeerState peer : new ArrayList<>(waiting)) {
            if (now - peer.toldAt < gap || peer.answers.isEmpty() && allowance < 1) continue;
            if (peer.answers.isEmpty()) allowance -= 1;
            send(now, peer, entries);
            if (!peer.tells.isEmpty() || !peer.answers.isEmpty()) continue;
            waiting.remove(peer);
            peer.waiting = false;
        }
    }

    private void send(double now, PeerState peer, Entries entries) {
        List<QuotaEntry> written = new ArrayList<>();
        int room = (MESSAGE_BYTES - QuotaMessageCodec.HEADER_BYTES) / QuotaMessageCodec.MAX_ENTRY_BYTES;
        peer.serial++;
        for (LinkedHashSet<CustomerQuota> due : List.of(peer.answers, peer.tells)) {
            for (Iterator<CustomerQuota> it = due.iterator(); it.hasNext() && written.size() < room; it.remove()) {
                written.add(entries.of(peer, it.next(), due == peer.answers));
            }
        }
        peer.toldAt = now;
        QuotaMessage message = new QuotaMessage(epoch, peer.epoch, peer.serial, peer.heardSerial, written);
        actions.sendToPeer(peer.number, QuotaMessageCodec.encode(message));
    }

    /** Notes a message of a peer; false for one overtaken on the way, told twice or of another life. */
    boolean takesIn(double now, PeerState peer, QuotaMessage message) {
        boolean sameLife = peer.met && message.senderIncarnation() == peer.epoch;
        // Lives are compared by difference: their field runs over every 50 days of Unix time.
        boolean late = sameLife
                ? !SerialArithmetic.isAfter(message.serial(), peer.heardSerial)
                : message.senderIncarnation() - peer.epoch < 0;
        // A life that has yet to begin would make all that its sender says from now on seem late.
        boolean unborn = message.senderIncarnation() - (int) (long) now > CLOCKS_APART_MS;
        if (peer.met && late || unborn) return false;
        peer.met = true;
        peer.epoch = message.senderIncarnation();
        peer.heardSerial = message.serial();
        peer.silentTill = State.NEVER;
        return true;
    }
}
