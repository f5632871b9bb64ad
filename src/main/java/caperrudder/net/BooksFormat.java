package caperrudder.net;

import caperrudder.api.Books;
import caperrudder.api.ClassBook;
import caperrudder.api.CustomerBook;
import caperrudder.api.HealthBook;
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
final class BooksFormat {
    static final int MAX_BYTES = 1 << 20;
    private static final int VERSION = 0xCA9E0001;
    private static final int SUM_BYTES = Long.BYTES;

    private BooksFormat() {}

    private interface Part<T> {
        T read(DataInputStream in) throws IOException;
    }

    static byte[] write(Books books) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(VERSION);
            out.writeDouble(books.at());
            out.writeDouble(books.perHost());
            out.writeInt(books.customers().size());
            for (CustomerBook c : books.customers()) {
                out.writeLong(c.customer());
                out.writeUTF(c.plan());
                out.writeInt(c.first());
                out.writeInt(c.spread());
                doubles(
                        out,
                        c.level(),
                        c.tokens(),
                        c.store(),
                        c.demand(),
                        c.used(),
                        c.useRate(),
                        c.meterPart(),
                        c.meterAt(),
                        c.meterOthers());
            }
            out.writeInt(books.health().size());
            for (HealthBook h : books.health()) {
                out.writeUTF(h.host());
                out.writeUTF(h.requestClass());
                doubles(out, h.slow(), h.at());
                out.writeInt(h.failures());
            }
            out.writeInt(books.classes().size());
            for (ClassBook c : books.classes()) {
                out.writeUTF(c.name());
                doubles(out, c.weight(), c.latencyPerUnit(), c.base());
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
    static Books read(byte[] bytes) {
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
            return new Books(
                    at,
                    perHost,
                    list(in, BooksFormat::customer),
                    list(in, BooksFormat::health),
                    list(in, BooksFormat::requestClass));
        } catch (IOException e) {
            return null;
        }
    }

    private static CustomerBook customer(DataInputStream in) throws IOException {
        return new CustomerBook(
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

    private static HealthBook health(DataInputStream in) throws IOException {
        return new HealthBook(in.readUTF(), in.readUTF(), in.readDouble(), in.readDouble(), in.readInt());
    }

    private static ClassBook requestClass(DataInputStream in) throws IOException {
        return new ClassBook(
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
