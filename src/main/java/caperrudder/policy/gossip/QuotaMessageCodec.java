package caperrudder.policy.gossip;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.zip.CRC32;

/**
 * Encodes and decodes {@link QuotaMessage}s. The header consists of version, checksum, both incarnations, both serials
 * and the number of entries; the entries follow. Numbers are big-endian. Amounts are fixed-point numbers, clamped to
 * the range of their field. Running totals wrap around instead. The format must not change within a version, since
 * gateways of different releases exchange messages.
 *
 * <p>Stateless.
 */
public final class QuotaMessageCodec {
    static final int HEADER_BYTES = 16;
    /** An upper bound of an entry's encoded size. */
    static final int MAX_ENTRY_BYTES = 27;
    /** Steps of the fixed-point encoding per unit, and per unit per second. */
    static final double UNIT_SCALE = 16;

    private static final byte VERSION = 3;
    private static final int CHECKSUM_OFFSET = 1;
    private static final int AFTER_CHECKSUM_OFFSET = 3;
    private static final double FILL_RATIO_SCALE = 30_000;
    private static final int MAX_UNSIGNED_SHORT = 0xffff;
    private static final int BYTE_MASK = 0xff;
    private static final long INT_MASK = 0xffffffffL;

    private static final int FLAG_OWNER_REPLY = 1;
    private static final int FLAG_WANTS_REPLY = 2;
    private static final int FLAG_CEILING = 4;
    private static final int FLAG_UNCERTAIN = 8;
    private static final int FLAG_FILL_RATIO = 16;

    private static final int COMMON_ENTRY_BYTES = 17;
    private static final int REPLICA_SET_BYTES = 4;
    private static final int FILL_RATIO_BYTES = 2;
    private static final int CEILING_BYTES = 4;

    private QuotaMessageCodec() {}

    /** Encodes a message, which must have at most 255 entries. */
    public static byte[] encode(QuotaMessage message) {
        int size = HEADER_BYTES;
        for (QuotaEntry entry : message.entries()) {
            size += encodedBytes(entry);
        }
        ByteBuffer buffer = ByteBuffer.allocate(size);
        buffer.put(VERSION).putShort((short) 0);
        buffer.putInt(message.senderIncarnation()).putInt(message.receiverIncarnation());
        buffer.putShort((short) message.serial()).putShort((short) message.acknowledgedSerial());
        buffer.put((byte) message.entries().size());
        for (QuotaEntry entry : message.entries()) {
            writeEntry(buffer, entry);
        }
        byte[] data = buffer.array();
        buffer.putShort(CHECKSUM_OFFSET, checksum(data));
        return data;
    }

    private static int encodedBytes(QuotaEntry entry) {
        if (entry instanceof OwnerReply reply) {
            return COMMON_ENTRY_BYTES
                    + FILL_RATIO_BYTES
                    + (reply.ceilingUnitsGranted().isPresent() ? CEILING_BYTES : 0);
        }
        ReplicaReport report = (ReplicaReport) entry;
        return COMMON_ENTRY_BYTES + REPLICA_SET_BYTES + (report.fillRatio().isPresent() ? FILL_RATIO_BYTES : 0);
    }

    private static void writeEntry(ByteBuffer buffer, QuotaEntry entry) {
        if (entry instanceof OwnerReply reply) writeReply(buffer, reply);
        else writeReport(buffer, (ReplicaReport) entry);
    }

    private static void writeReport(ByteBuffer buffer, ReplicaReport report) {
        int flags = (report.wantsReply() ? FLAG_WANTS_REPLY : 0)
                | (report.wantsCeilingUnits() ? FLAG_CEILING : 0)
                | (report.fillRatio().isPresent() ? FLAG_FILL_RATIO : 0);
        writeFlagsAndCustomer(buffer, flags, report);
        buffer.putShort((short) report.firstReplica()).putShort((short) report.replicaCount());
        writeTotal(buffer, report.usedUnits());
        writeUnits(buffer, report.wantedUnits());
        writeUnits(buffer, report.demandPerSecond());
        buffer.putShort(clampToUnsignedShort(report.openRequests()));
        if (report.fillRatio().isPresent())
            writeFillRatio(buffer, report.fillRatio().getAsDouble());
    }

    private static void writeReply(ByteBuffer buffer, OwnerReply reply) {
        boolean hasCeiling = reply.ceilingUnitsGranted().isPresent();
        int flags = FLAG_OWNER_REPLY | (hasCeiling ? FLAG_CEILING : 0) | (reply.uncertain() ? FLAG_UNCERTAIN : 0);
        writeFlagsAndCustomer(buffer, flags, reply);
        writeTotal(buffer, reply.chargedUnits());
        writeUnits(buffer, reply.grantedUnits());
        writeUnits(buffer, reply.peerDemandPerSecond());
        buffer.putShort(clampToUnsignedShort(reply.peerOpenRequests()));
        writeFillRatio(buffer, reply.fillRatio());
        if (hasCeiling) writeTotal(buffer, reply.ceilingUnitsGranted().getAsDouble());
    }

    private static void writeFlagsAndCustomer(ByteBuffer buffer, int flags, QuotaEntry entry) {
        buffer.put((byte) flags).put((byte) entry.planNumber());
        buffer.put((byte) (entry.customer() >>> Integer.SIZE)).putInt((int) entry.customer());
    }

    private static void writeTotal(ByteBuffer buffer, double units) {
        buffer.putInt((int) Math.round(units * UNIT_SCALE));
    }

    private static void writeUnits(ByteBuffer buffer, double units) {
        buffer.putShort(clampToUnsignedShort(units * UNIT_SCALE));
    }

    private static void writeFillRatio(ByteBuffer buffer, double fillRatio) {
        buffer.putShort((short) Math.round(Math.max(-1, Math.min(1, fillRatio)) * FILL_RATIO_SCALE));
    }

    private static short clampToUnsignedShort(double value) {
        return (short) Math.max(0, Math.min(MAX_UNSIGNED_SHORT, Math.round(value)));
    }

    /** Returns the decoded message, or empty if the version, the checksum or the length is wrong. */
    public static Optional<QuotaMessage> decode(byte[] data) {
        if (data.length < HEADER_BYTES || data[0] != VERSION) return Optional.empty();
        ByteBuffer buffer = ByteBuffer.wrap(data, CHECKSUM_OFFSET, data.length - CHECKSUM_OFFSET);
        if (buffer.getShort() != checksum(data)) return Optional.empty();
        try {
            QuotaMessage message = readMessage(buffer);
            return buffer.hasRemaining() ? Optional.empty() : Optional.of(message);
        } catch (BufferUnderflowException truncated) {
            return Optional.empty();
        }
    }

    private static QuotaMessage readMessage(ByteBuffer buffer) {
        int senderIncarnation = buffer.getInt();
        int receiverIncarnation = buffer.getInt();
        int serial = readShort(buffer);
        int acknowledgedSerial = readShort(buffer);
        int count = buffer.get() & BYTE_MASK;
        List<QuotaEntry> entries = new ArrayList<>(count);
        while (entries.size() < count) {
            entries.add(readEntry(buffer));
        }
        return new QuotaMessage(senderIncarnation, receiverIncarnation, serial, acknowledgedSerial, entries);
    }

    private static QuotaEntry readEntry(ByteBuffer buffer) {
        int flags = buffer.get();
        int planNumber = buffer.get() & BYTE_MASK;
        long customer = (long) (buffer.get() & BYTE_MASK) << Integer.SIZE | (buffer.getInt() & INT_MASK);
        return (flags & FLAG_OWNER_REPLY) != 0
                ? readReply(buffer, flags, customer, planNumber)
                : readReport(buffer, flags, customer, planNumber);
    }

    private static ReplicaReport readReport(ByteBuffer buffer, int flags, long customer, int planNumber) {
        return new ReplicaReport(
                customer,
                planNumber,
                readShort(buffer),
                readShort(buffer),
                readTotal(buffer),
                readUnits(buffer),
                readUnits(buffer),
                readShort(buffer),
                (flags & FLAG_FILL_RATIO) != 0 ? OptionalDouble.of(readFillRatio(buffer)) : OptionalDouble.empty(),
                (flags & FLAG_WANTS_REPLY) != 0,
                (flags & FLAG_CEILING) != 0);
    }

    private static OwnerReply readReply(ByteBuffer buffer, int flags, long customer, int planNumber) {
        return new OwnerReply(
                customer,
                planNumber,
                readTotal(buffer),
                readUnits(buffer),
                readUnits(buffer),
                readShort(buffer),
                readFillRatio(buffer),
                (flags & FLAG_UNCERTAIN) != 0,
                (flags & FLAG_CEILING) != 0 ? OptionalDouble.of(readTotal(buffer)) : OptionalDouble.empty());
    }

    private static int readShort(ByteBuffer buffer) {
        return buffer.getShort() & MAX_UNSIGNED_SHORT;
    }

    private static double readTotal(ByteBuffer buffer) {
        return buffer.getInt() / UNIT_SCALE;
    }

    private static double readUnits(ByteBuffer buffer) {
        return readShort(buffer) / UNIT_SCALE;
    }

    private static double readFillRatio(ByteBuffer buffer) {
        return buffer.getShort() / FILL_RATIO_SCALE;
    }

    private static short checksum(byte[] data) {
        CRC32 crc = new CRC32();
        crc.update(data, 0, CHECKSUM_OFFSET);
        crc.update(data, AFTER_CHECKSUM_OFFSET, data.length - AFTER_CHECKSUM_OFFSET);
        return (short) crc.getValue();
    }
}
