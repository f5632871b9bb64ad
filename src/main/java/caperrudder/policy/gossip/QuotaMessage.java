package caperrudder.policy.gossip;

import java.util.List;

/**
 * A message from one gateway to another.
 *
 * @param senderIncarnation of the sender, by the time of its start
 * @param receiverIncarnation of the receiver, as the sender knows it; 0 before any
 * @param serial the sender's own count of messages to the receiver, modulo 65,536
 * @param acknowledgedSerial of the last message that the sender had from the receiver
 */
public record QuotaMessage(
        int senderIncarnation, int receiverIncarnation, int serial, int acknowledgedSerial, List<QuotaEntry> entries) {}
