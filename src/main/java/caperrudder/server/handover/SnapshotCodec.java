package caperrudder.server.handover;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.HealthSnapshot;
import caperrudder.api.PolicySnapshot;
import caperrudder.api.QuotaSnapshot;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The bytes of a policy's snapshot: format version, entries, checksum, all big-endian. Processes of different versions
 * of the program read each other's snapshots, so the bytes must not change. Has no state.
 */
public final class SnapshotCodec {
    /** The longest snapshot that is written or read, in bytes. */
    static final int MAX_BYTES = 1 << 20;

    private static final int FORMAT_VERSION = 0xCA9E0001;
    private static final int CHECKSUM_BYTES = Long.BYTES;

    private SnapshotCodec() {}

    @FunctionalInterface
    private interface EntryDecoder<T> {
        T decode(DataInputStream in) throws IOException;
    }

    /** The bytes of {@code snapshot}, of whatever length. */
    public static byte[] encode(PolicySnapshot snapshot) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(FORMAT_VERSION);
            out.writeDouble(snapshot.takenAtMs());
            out.writeDouble(snapshot.concurrencyLimitPerHost());
            encodeQuotas(out, snapshot.quotas());
            encodeHealth(out, snapshot.health());
            encodeClasses(out, snapshot.classes());
            out.writeLong(checksum(bytes.toByteArray(), bytes.size()));
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory does not fail, and no name is too long for the format
        }
        return bytes.toByteArray();
    }

    private static void encodeQuotas(DataOutputStream out, List<QuotaSnapshot> quotas) throws IOException {
        out.writeInt(quotas.size());
        for (QuotaSnapshot quota : quotas) {
            out.writeLong(quota.customer());
            out.writeUTF(quota.plan());
            out.writeInt(quota.firstReplica());
            out.writeInt(quota.replicaCount());
            out.writeDouble(quota.sharedLevelUnits());
            out.writeDouble(quota.localLevelUnits());
            out.writeDouble(quota.meteredLevelUnits());
            out.writeDouble(quota.demandUnitsPerSecond());
            out.writeDouble(quota.usedUnits());
            out.writeDouble(quota.usedUnitsPerSecond());
            out.writeDouble(quota.meteredShare());
            out.writeDouble(quota.lastMeterReportAtMs());
            out.writeDouble(quota.meteredPeerUnitsPerSecond());
        }
    }

    private static void encodeHealth(DataOutputStream out, List<HealthSnapshot> entries) throws IOException {
        out.writeInt(entries.size());
        for (HealthSnapshot health : entries) {
            out.writeUTF(health.hostId());
            out.writeUTF(health.requestClass());
            out.writeDouble(health.latencyPenalty());
            out.writeDouble(health.updatedAtMs());
            out.writeInt(health.consecutiveFailures());
        }
    }

    private static void encodeClasses(DataOutputStream out, List<ClassSnapshot> classes) throws IOException {
        out.writeInt(classes.size());
        for (ClassSnapshot requestClass : classes) {
            out.writeUTF(requestClass.name());
            out.writeDouble(requestClass.weight());
            out.writeDouble(requestClass.latencyPerUnitMs());
            out.writeDouble(requestClass.baseLatencyPerUnitMs());
            out.writeInt(requestClass.latencySampleCount());
            out.writeDouble(requestClass.delayMs());
            out.writeDouble(requestClass.delaySlopeMs());
        }
    }

    /**
     * The snapshot in {@code bytes}.
     *
     * @throws SnapshotFormatException where they are torn, damaged or of another version of the format
     */
    public static PolicySnapshot decode(byte[] bytes) throws SnapshotFormatException {
        int length = bytes.length - CHECKSUM_BYTES;
        if (length < Integer.BYTES) {
            throw new SnapshotFormatException("only " + bytes.length + " bytes");
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            int version = in.readInt();
            if (version != FORMAT_VERSION) {
                throw new SnapshotFormatException("unknown format version " + Integer.toHexString(version));
            }
            if (readChecksum(bytes, length) != checksum(bytes, length)) {
                throw new SnapshotFormatException("wrong checksum");
            }
            return new PolicySnapshot(
                    in.readDouble(),
                    in.readDouble(),
                    decodeAll(in, SnapshotCodec::decodeQuota),
                    decodeAll(in, SnapshotCodec::decodeHealth),
                    decodeAll(in, SnapshotCodec::decodeClass));
        } catch (IOException e) {
            throw new SnapshotFormatException("ends inside an entry", e);
        }
    }

    private static QuotaSnapshot decodeQuota(DataInputStream in) throws IOException {
        return new QuotaSnapshot(
                in.readLong(),
                in.readUTF(),
                in.readInt(),
                in.readInt(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble());
    }

    private static HealthSnapshot decodeHealth(DataInputStream in) throws IOException {
        return new HealthSnapshot(in.readUTF(), in.readUTF(), in.readDouble(), in.readDouble(), in.readInt());
    }

    private static ClassSnapshot decodeClass(DataInputStream in) throws IOException {
        return new ClassSnapshot(
                in.readUTF(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readInt(),
                in.readDouble(),
                in.readDouble());
    }

    private static <T> List<T> decodeAll(DataInputStream in, EntryDecoder<T> decoder) throws IOException {
        List<T> entries = new ArrayList<>();
        for (int left = in.readInt(); left > 0; left--) {
            entries.add(decoder.decode(in));
        }
        return entries;
    }

    private static long readChecksum(byte[] bytes, int from) throws IOException {
        return new DataInputStream(new ByteArrayInputStream(Arrays.copyOfRange(bytes, from, bytes.length))).readLong();
    }

    private static long checksum(byte[] bytes, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, 0, length);
        return crc.getValue();
    }
}
