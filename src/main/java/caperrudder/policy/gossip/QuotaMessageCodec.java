package caperrudder.policy.gossip;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.zip.CRC32;

/**
 * The bytes of a {@link QuotaMessage}, big-endian: a header of version, checksum, both incarnations, both serials and
 * the count of entries; then the entries. Amounts are fixed point, held within what their field can say; running
 * totals wrap around. Gateways of other versions read these bytes: they stay.
 *
 * <p>Stateless.
 */
public final class QuotaMessageCodec {
    static final int HEADER_BYTES = 16;
    /** No entry is longer; messages are planned with it. */
    static final int MAX_ENTRY_BYTES = 27;
    /** Fixed point of units and of units per second. */
    static final double UNIT_SCALE = 16;

    private static final byte VERSION = 3;
    private static final int CHECKSUM_AT = 1;
    private static final int CHECKED_FROM = 3;
    private static final double FULLNESS_SCALE = 30_000;
    private static final int MAX_SHORT = 0xffff;
    private static final int MAX_BYTE = 0xff;
    private static final long MAX_INT = 0xffffffffL;

    private static final int FLAG_OWNER_REPLY = 1;
    private static final int FLAG_WANTS_REPLY = 2;
    private static final int FLAG_CEILING = 4;
    private static final int FLAG_UNCERTAIN = 8;
    private static final int FLAG_FULLNESS = 16;

    private static final int COMMON_BYTES = 17;
    private static final int REPLICA_SET_BYTES = 4;
    private static final int FULLNESS_BYTES = 2;
    private static final int CEILING_BYTES = 4;

    private QuotaMessageCodec() {}

    /** The bytes of a message of at most 255 entries. */
    public static byte[] encode(QuotaMessage message) {
        int size = HEADER_BYTES;
        for (QuotaEntry entry : message.entries()) {
            size += bytesOf(entry);
        }
        ByteBuffer buffer = ByteBuffer.allocate(size);
        buffer.put(VERSION).putShort((short) 0);
        buffer.putInt(message.senderIncarnation()).putInt(message.receiverIncarnation());
        buffer.putShort((short) message.serial()).putShort((short) message.acknowledgedSerial());
        buffer.put((byte) message.entries().size());
        for (QuotaEntry entry : message.entries()) {
            write(buffer, entry);
        }
        byte[] data = buffer.array();
        buffer.putShort(CHECKSUM_AT, checksum(data));
        return data;
    }

    private static int bytesOf(QuotaEntry entry) {
        if (entry instanceof OwnerReply reply) {
            return COMMON_BYTES + FULLNESS_BYTES + (reply.ceilingUnitsGiven().isPresent() ? CEILING_BYTES : 0);
        }
        ReplicaReport report = (ReplicaReport) entry;
        return COMMON_BYTES + REPLICA_SET_BYTES + (report.fullness().isPresent() ? FULLNESS_BYTES : 0);
    }

    private static void write(ByteBuffer buffer, QuotaEntry entry) {
        if (entry instanceof OwnerReply reply) writeReply(buffer, reply);
        else writeReport(buffer, (ReplicaReport) entry);
    }

    private static void writeReport(ByteBuffer buffer, ReplicaReport report) {
        int flags = (report.wantsReply() ? FLAG_WANTS_REPLY : 0)
                | (report.wantsCeilingUnits() ? FLAG_CEILING : 0)
                | (report.fullness().isPresent() ? FLAG_FULLNESS : 0);
        writeIdentity(buffer, flags, report);
        buffer.putShort((short) report.firstReplica()).putShort((short) report.replicaCount());
        writeTotal(buffer, report.usedUnits());
        writeUnits(buffer, report.wantedUnits());
        writeUnits(buffer, report.demandPerSecond());
        buffer.putShort(unsignedShort(report.openRequests()));
        if (report.fullness().isPresent())
            writeFullness(buffer, report.fullness().getAsDouble());
    }

    private static void writeReply(ByteBuffer buffer, OwnerReply reply) {
        boolean ceiling = reply.ceilingUnitsGiven().isPresent();
        int flags = FLAG_OWNER_REPLY | (ceiling ? FLAG_CEILING : 0) | (reply.uncertain() ? FLAG_UNCERTAIN : 0);
        writeIdentity(buffer, flags, reply);
        writeTotal(buffer, reply.bookedUnits());
        writeUnits(buffer, reply.grantedUnits());
        writeUnits(buffer, reply.othersDemandPerSecond());
        buffer.putShort(unsignedShort(reply.othersOpenRequests()));
        writeFullness(buffer, reply.fullness());
        if (ceiling) writeTotal(buffer, reply.ceilingUnitsGiven().getAsDouble());
    }

    private static void writeIdentity(ByteBuffer buffer, int flags, QuotaEntry entry) {
        buffer.put((byte) flags).put((byte) entry.planNumber());
        buffer.put((byte) (entry.customer() >>> Integer.SIZE)).putInt((int) entry.customer());
    }

    private static void writeTotal(ByteBuffer buffer, double units) {
        buffer.putInt((int) Math.round(units * UNIT_SCALE));
    }

    private static void writeUnits(ByteBuffer buffer, double units) {
        buffer.putShort(unsignedShort(units * UNIT_SCALE));
    }

    private static void writeFullness(ByteBuffer buffer, double fullness) {
        buffer.putShort((short) Math.round(Math.max(-1, Math.min(1, fullness)) * FULLNESS_SCALE));
    }

    private static short unsignedShort(double value) {
        return (short) Math.max(0, Math.min(MAX_SHORT, Math.round(value)));
    }

    /** The message, or empty where the bytes are short, damaged or of another version. */
    public static Optional<QuotaMessage> decode(byte[] data) {
        if (data.length < HEADER_BYTES || data[0] != VERSION) return Optional.empty();
        ByteBuffer buffer = ByteBuffer.wrap(data, CHECKSUM_AT, data.length - CHECKSUM_AT);
        if (buffer.getShort() != checksum(data)) return Optional.empty();
        try {
            QuotaMessage message = readMessage(buffer);
            return buffer.hasRemaining() ? Optional.empty() : Optional.of(message);
        } catch (BufferUnderflowException shorterThanItsCount) {
            return Optional.empty();
        }
    }

    private static QuotaMessage readMessage(ByteBuffer buffer) {
        int senderIncarnation = buffer.getInt();
        int receiverIncarnation = buffer.getInt();
        int serial = readShort(buffer);
        int acknowledgedSerial = readShort(buffer);
        int count = buffer.get() & MAX_BYTE;
        List<QuotaEntry> entries = new ArrayList<>(count);
        while (entries.size() < count) {
            entries.add(readEntry(buffer));
        }
        return new QuotaMessage(senderIncarnation, receiverIncarnation, serial, acknowledgedSerial, entries);
    }

    private static QuotaEntry readEntry(ByteBuffer buffer) {
        int flags = buffer.get();
        int planNumber = buffer.get() & MAX_BYTE;
        long customer = (long) (buffer.get() & MAX_BYTE) << Integer.SIZE | (buffer.getInt() & MAX_INT);
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
                (flags & FLAG_FULLNESS) != 0 ? OptionalDouble.of(readFullness(buffer)) : OptionalDouble.empty(),
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
                readFullness(buffer),
                (flags & FLAG_UNCERTAIN) != 0,
                (flags & FLAG_CEILING) != 0 ? OptionalDouble.of(readTotal(buffer)) : OptionalDouble.empty());
    }

    private static int readShort(ByteBuffer buffer) {
        return buffer.getShort() & MAX_SHORT;
    }

    private static double readTotal(ByteBuffer buffer) {
        return buffer.getInt() / UNIT_SCALE;
    }

    private static double readUnits(ByteBuffer buffer) {
        return readShort(buffer) / UNIT_SCALE;
    }

    private static double readFullness(ByteBuffer buffer) {
        return buffer.getShort() / FULLNESS_SCALE;
    }

    private static short checksum(byte[] data) {
        CRC32 crc = new CRC32();
        crc.update(data, 0, CHECKSUM_AT);
        crc.update(data, CHECKED_FROM, data.length - CHECKED_FROM);
        return (short) crc.getValue();
    }
}
