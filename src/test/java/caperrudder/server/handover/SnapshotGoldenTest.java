package caperrudder.server.handover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import caperrudder.api.ClassSnapshot;
import caperrudder.api.HealthSnapshot;
import caperrudder.api.PolicySnapshot;
import caperrudder.api.QuotaSnapshot;
import caperrudder.policy.GoldenFiles;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;

/**
 * Pins the bytes of the snapshot that one process of a gateway leaves to the next. During an upgrade the two are of
 * different versions, so the golden snapshot has to be decoded to the same fields and encoded to the same bytes.
 */
class SnapshotGoldenTest {
    static final String FILE = "snapshot.bin";
    private static final String EMPTY_FILE = "snapshot-empty.bin";
    private static final int VERSION = 0xCA9E0001;
    private static final int SUM_BYTES = 8; // a CRC-32 as a long
    private static final int CUSTOMERS_AT = 20; // count of customers, after version, time and attempts a host

    /** What the golden snapshot says. */
    static final PolicySnapshot SNAPSHOT = new PolicySnapshot(
            1_764_684_000_123.25,
            7.5,
            List.of(
                    new QuotaSnapshot(5, "small", 1, 2, 11.5, 3.25, 10.75, 2.125, 77, 0.5, 0.0625, 1234.5, 9.75),
                    new QuotaSnapshot(
                            0xAB_1234_5678L,
                            "capped",
                            0,
                            105,
                            -100,
                            -0.0,
                            0,
                            1e-300,
                            1e300,
                            0.1,
                            1 / 3.0,
                            Double.NEGATIVE_INFINITY,
                            Math.PI),
                    new QuotaSnapshot(-1, "Zürich ☃", 65535, 65536, 1, 2, 3, 4, 5, 6, 7, 8, 9)),
            List.of(
                    new HealthSnapshot("host-1", "", 1.5, 99.5, 0),
                    new HealthSnapshot("host-1", "order", 12, 100.25, 3),
                    new HealthSnapshot("host-2", "read", 1, 0, Integer.MAX_VALUE),
                    new HealthSnapshot("", "", Double.MIN_VALUE, -1, -1)),
            List.of(
                    new ClassSnapshot("read", 0.25, 12.5, 10.125, 4000, 31.5, 0.75),
                    new ClassSnapshot("order", 0.75, 0.1, 0.2, 0, 0, 0)));

    private static final PolicySnapshot EMPTY = new PolicySnapshot(0, 6, List.of(), List.of(), List.of());

    /** The snapshot with the checksum that its bytes have to carry, computed apart from the program. */
    private static byte[] sealed(byte[] snapshot) {
        byte[] sealed = snapshot.clone();
        int length = sealed.length - SUM_BYTES;
        CRC32 sum = new CRC32();
        sum.update(sealed, 0, length);
        ByteBuffer.wrap(sealed).putLong(length, sum.getValue());
        return sealed;
    }

    @Test
    void theGoldenSnapshotIsDecodedToItsFieldsAndEncodedToItsBytes() throws Exception {
        byte[] golden = GoldenFiles.bytes(FILE);
        assertEquals(SNAPSHOT, SnapshotCodec.decode(golden));
        assertArrayEquals(golden, SnapshotCodec.encode(SNAPSHOT));
        assertArrayEquals(golden, sealed(golden), "checksum and what it covers");
        assertEquals(VERSION, ByteBuffer.wrap(golden).getInt());
        assertEquals(3, ByteBuffer.wrap(golden).getInt(CUSTOMERS_AT));
    }

    @Test
    void theGoldenSnapshotOfAnIdleGatewayIsDecodedAndEncodedAlike() throws Exception {
        byte[] golden = GoldenFiles.bytes(EMPTY_FILE);
        assertEquals(EMPTY, SnapshotCodec.decode(golden));
        assertArrayEquals(golden, SnapshotCodec.encode(EMPTY));
        assertEquals(40, golden.length);
    }

    @Test
    void aTornSnapshotIsRejected() {
        byte[] golden = GoldenFiles.bytes(FILE);
        for (int length = 0; length < golden.length; length++) {
            byte[] torn = Arrays.copyOf(golden, length);
            assertThrows(SnapshotFormatException.class, () -> SnapshotCodec.decode(torn), "first " + length + " bytes");
        }
    }

    @Test
    void aSnapshotWithOneDamagedBitIsRejected() {
        byte[] golden = GoldenFiles.bytes(FILE);
        for (int bit = 0; bit < golden.length * Byte.SIZE; bit++) {
            byte[] damaged = golden.clone();
            damaged[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
            assertThrows(SnapshotFormatException.class, () -> SnapshotCodec.decode(damaged), "bit " + bit);
        }
    }

    @Test
    void aSnapshotOfAnotherVersionIsRejected() {
        for (int version : new int[] {0, 1, VERSION - 1, VERSION + 1, 0xCA9E0100, -1}) {
            byte[] other = GoldenFiles.bytes(FILE);
            ByteBuffer.wrap(other).putInt(version);
            assertThrows(
                    SnapshotFormatException.class,
                    () -> SnapshotCodec.decode(sealed(other)),
                    "version " + Integer.toHexString(version));
        }
    }

    @Test
    void aSnapshotThatNamesMoreEntriesThanItHasIsRejected() {
        for (int count : new int[] {4, 100, Integer.MAX_VALUE}) {
            byte[] other = GoldenFiles.bytes(FILE);
            ByteBuffer.wrap(other).putInt(CUSTOMERS_AT, count);
            assertThrows(
                    SnapshotFormatException.class, () -> SnapshotCodec.decode(sealed(other)), count + " customers");
        }
    }

    /** The reader stops at its last entry: a version that adds a part at the end is still understood. */
    @Test
    void bytesBetweenTheEntriesAndTheChecksumAreIgnored() throws Exception {
        byte[] golden = GoldenFiles.bytes(FILE);
        byte[] longer = sealed(Arrays.copyOf(golden, golden.length + 5));
        assertNotNull(SnapshotCodec.decode(longer));
        assertEquals(SNAPSHOT, SnapshotCodec.decode(longer));
    }
}
