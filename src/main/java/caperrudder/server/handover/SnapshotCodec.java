package caperrudder.server.handover;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.HealthSnapshot;
import caperrudder.api.QuotaSnapshot;
import caperrudder.api.Snapshot;
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

/** The bytes of a gateway's books: a version, the entries, a check sum. Translation only. */
public final class SnapshotCodec {
    static final int MAX_BYTES = 1 << 20;
    private static final int VERSION = 0xCA9E0001;
    private static final int SUM_BYTES = Long.BYTES;

    private SnapshotCodec() {}

    private interface Part<T> {
        T read(DataInputStream in) throws IOException;
    }

    public static byte[] write(Snapshot books) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(VERSION);
            out.writeDouble(books.takenAtMs());
            out.writeDouble(books.concurrencyPerHost());
            out.writeInt(books.quotas().size());
            for (QuotaSnapshot c : books.quotas()) {
                out.writeLong(c.customer());
                out.writeUTF(c.plan());
                out.writeInt(c.firstReplica());
                out.writeInt(c.replicaCount());
                doubles(
                        out,
                        c.sharedLevel(),
                        c.localTokens(),
                        c.meteredLevel(),
                        c.demandPerSecond(),
                        c.usedUnits(),
                        c.usePerSecond(),
                        c.meteredShare(),
                        c.meteredAtMs(),
                        c.meteredOthersPerSecond());
            }
            out.writeInt(books.health().size());
            for (HealthSnapshot h : books.health()) {
                out.writeUTF(h.host());
                out.writeUTF(h.requestClass());
                doubles(out, h.latencyPenalty(), h.updatedAtMs());
                out.writeInt(h.failuresSinceSuccess());
            }
            out.writeInt(books.classes().size());
            for (ClassSnapshot c : books.classes()) {
                out.writeUTF(c.name());
                doubles(out, c.weight(), c.latencyPerUnit(), c.baseLatencyPerUnit());
                out.writeInt(c.samples());
                doubles(out, c.delay(), c.slope());
            }
            out.writeLong(sum(bytes.toByteArray(), bytes.size()));
        } catch (IOException e) {
            throw new UncheckedIOException(e); // memory does not fail, and no name is as long as that
        }
        return bytes.toByteArray();
    }

    /** Null where the bytes are torn, damaged or of another version. */
    public static Snapshot read(byte[] bytes) {
        int length = bytes.length - SUM_BYTES;
        if (length < 0) {
            return null;
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            if (in.readInt() != VERSION || readSum(bytes, length) != sum(bytes, length)) {
                return null;
            }
            double at = in.readDouble();
            double perHost = in.readDouble();
            return new Snapshot(
                    at,
                    perHost,
                    list(in, SnapshotCodec::customer),
                    list(in, SnapshotCodec::health),
                    list(in, SnapshotCodec::requestClass));
        } catch (IOException e) {
            return null;
        }
    }

    private static QuotaSnapshot customer(DataInputStream in) throws IOException {
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

    private static HealthSnapshot health(DataInputStream in) throws IOException {
        return new HealthSnapshot(in.readUTF(), in.readUTF(), in.readDouble(), in.readDouble(), in.readInt());
    }

    private static ClassSnapshot requestClass(DataInputStream in) throws IOException {
        return new ClassSnapshot(
                in.readUTF(),
                in.readDouble(),
                in.readDouble(),
                in.readDouble(),
                in.readInt(),
                in.readDouble(),
                in.readDouble());
    }

    private static <T> List<T> list(DataInputStream in, Part<T> part) throws IOException {
        List<T> all = new ArrayList<>();
        for (int left = in.readInt(); left > 0; left--) {
            all.add(part.read(in));
        }
        return all;
    }

    private static void doubles(DataOutputStream out, double... values) throws IOException {
        for (double v : values) {
            out.writeDouble(v);
        }
    }

    private static long readSum(byte[] bytes, int from) throws IOException {
        return new DataInputStream(new ByteArrayInputStream(Arrays.copyOfRange(bytes, from, bytes.length))).readLong();
    }

    private static long sum(byte[] bytes, int length) {
        CRC32 crc = new CRC32();
        crc.update(bytes, 0, length);
        return crc.getValue();
    }
}
