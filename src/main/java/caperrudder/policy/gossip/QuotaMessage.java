package caperrudder.policy.gossip;

import java.util.List;

/**
 * A message from one gateway to another.
 *
 * @param senderIncarnation the low 32 bits of the sender's start time in milliseconds
 * @param receiverIncarnation the receiver's incarnation as known to the sender; 0 if the sender has no message from it
 * @param serial the sender's count of messages to the receiver; 16 bits of it are encoded
 * @param acknowledgedSerial the serial of the last message that the sender accepted from the receiver; 0 if it has
 *     accepted none
 * @param entries at most 255 entries
 */
public record QuotaMessage(
        int senderIncarnation, int receiverIncarnation, int serial, int acknowledgedSerial, List<QuotaEntry> entries) {}
