package caperrudder.policy.loadbalancing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/**
 * Endpoints in the order of a key and, where keys are equal, of their host ids: an order-statistics list. It is kept in
 * blocks, so that one more or less moves the endpoints of one block, and an endpoint is found by its id or by its rank
 * in the logarithm of their number. Its keys stand in arrays of ints, which costs some 12 bytes an endpoint.
 */
final class RankedEndpoints {
    private static final int BLOCK_SIZE = 256; // endpoints, at which a block is split
    private static final int INITIAL_BLOCK_SIZE = 4; // of the first block: most cells hold few endpoints

    private Block[] blocks = {new Block(INITIAL_BLOCK_SIZE)};
    private int[] firstKeys = new int[1]; // of each block: its first endpoint's key
    private int[] firstRanks = new int[1]; // of each block: how many endpoints stand in those before it
    private int blockCount = 1;
    private int size;
    private long visited;

    /** A run of the order, in arrays that grow up to {@link #BLOCK_SIZE}. */
    private static final class Block {
        private int[] keys;
        private Endpoint[] endpoints;
        private int size;

        Block(int initialSize) {
            keys = new int[initialSize];
            endpoints = new Endpoint[initialSize];
        }

        private boolean isBefore(int i, int key, String id) {
            return keys[i] < key || (keys[i] == key && endpoints[i].id().compareTo(id) < 0);
        }

        private boolean holds(int i, int key, String id) {
            return i < size && keys[i] == key && endpoints[i].id().equals(id);
        }

        private void insert(int i, int key, Endpoint endpoint) {
            if (size == keys.length) {
                int length = Math.min(BLOCK_SIZE, 2 * size);
                keys = Arrays.copyOf(keys, length);
                endpoints = Arrays.copyOf(endpoints, length);
            }
            System.arraycopy(keys, i, keys, i + 1, size - i);
            System.arraycopy(endpoints, i, endpoints, i + 1, size - i);
            keys[i] = key;
            endpoints[i] = endpoint;
            size++;
        }

        private void delete(int i) {
            size--;
            System.arraycopy(keys, i + 1, keys, i, size - i);
            System.arraycopy(endpoints, i + 1, endpoints, i, size - i);
            endpoints[size] = null;
        }

        /** Moves its upper half to a new block. */
        private Block split() {
            int half = size / 2;
            Block upper = new Block(BLOCK_SIZE);
            upper.size = size - half;
            System.arraycopy(keys, half, upper.keys, 0, upper.size);
            System.arraycopy(endpoints, half, upper.endpoints, 0, upper.size);
            Arrays.fill(endpoints, half, size, null);
            size = half;
            return upper;
        }
    }

    int size() {
        return size;
    }

    /** Endpoints compared, copied or visited up to now: what the look-ups cost. */
    long visited() {
        return visited;
    }

    /** The endpoint of this host id, or null. */
    Endpoint find(int key, String id) {
        Block block = blocks[blockOf(key, id)];
        int i = placeIn(block, key, id);
        return block.holds(i, key, id) ? block.endpoints[i] : null;
    }

    /** Takes in an endpoint whose host id is not in the list yet. */
    void add(int key, Endpoint endpoint) {
        int at = blockOf(key, endpoint.id());
        Block block = blocks[at];
        block.insert(placeIn(block, key, endpoint.id()), key, endpoint);
        firstKeys[at] = block.keys[0];
        moveRanksFrom(at + 1, 1);
        size++;
        if (block.size == BLOCK_SIZE) split(at);
    }

    private void split(int at) {
        Block upper = blocks[at].split();
        if (blockCount == blocks.length) {
            blocks = Arrays.copyOf(blocks, 2 * blockCount);
            firstKeys = Arrays.copyOf(firstKeys, 2 * blockCount);
            firstRanks = Arrays.copyOf(firstRanks, 2 * blockCount);
        }
        shiftBlocks(at + 1, at + 2);
        blockCount++;
        blocks[at + 1] = upper;
        firstKeys[at + 1] = upper.keys[0];
        firstRanks[at + 1] = firstRanks[at] + blocks[at].size;
    }

    /** Drops the endpoint of this one's host id, if it is in the list. */
    void remove(int key, Endpoint endpoint) {
        int at = blockOf(key, endpoint.id());
        Block block = blocks[at];
        int i = placeIn(block, key, endpoint.id());
        if (i == block.size || block.endpoints[i] != endpoint) return;
        block.delete(i);
        moveRanksFrom(at + 1, -1);
        size--;
        if (block.size > 0) firstKeys[at] = block.keys[0];
        if (block.size > 0 || blockCount == 1) return;
        shiftBlocks(at + 1, at);
        blocks[--blockCount] = null;
    }

    /** How many endpoints have a smaller key. */
    int rank(int key) {
        int at = blockOf(key, ""); // no id is less
        return firstRanks[at] + placeIn(blocks[at], key, "");
    }

    /** The endpoint of this rank, from 0 to one less than {@link #size}. */
    Endpoint at(int rank) {
        int at = blockAt(rank);
        visited++;
        return blocks[at].endpoints[rank - firstRanks[at]];
    }

    /** Adds the endpoints from this rank on to a list: {@code count} in all, or up to the last. */
    void copy(int rank, int count, List<Endpoint> to) {
        int at = blockAt(rank);
        int left = count;
        for (int i = rank - firstRanks[at]; left > 0 && at < blockCount; at++, i = 0) {
            Block block = blocks[at];
            for (; i < block.size && left > 0; i++, left--) to.add(block.endpoints[i]);
        }
        visited += count - left;
    }

    /** So many endpoints from this rank on in several lists that count as one, counted round. */
    static List<Endpoint> copyCircular(Collection<RankedEndpoints> parts, int rank, int count) {
        List<Endpoint> endpoints = new ArrayList<>(count);
        copy(parts, rank, count, endpoints);
        copy(parts, 0, count - endpoints.size(), endpoints);
        return endpoints;
    }

    private static void copy(Collection<RankedEndpoints> parts, int rank, int count, List<Endpoint> to) {
        int skip = rank;
        int end = to.size() + count;
        for (RankedEndpoints part : parts) {
            if (to.size() == end) return;
            if (skip < part.size()) part.copy(skip, end - to.size(), to);
            skip = Math.max(0, skip - part.size());
        }
    }

    void forEach(Consumer<Endpoint> action) {
        for (int at = 0; at < blockCount; at++) {
            for (int i = 0; i < blocks[at].size; i++) action.accept(blocks[at].endpoints[i]);
        }
        visited += size;
    }

    private int blockAt(int rank) {
        int at = Arrays.binarySearch(firstRanks, 0, blockCount, rank);
        return at < 0 ? -at - 2 : at;
    }

    /** The last block that begins with this host id or one before it, or the first block. */
    private int blockOf(int key, String id) {
        int low = 0;
        int high = blockCount - 1;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            boolean startsBefore = firstKeys[middle] < key
                    || (firstKeys[middle] == key
                            && blocks[middle].endpoints[0].id().compareTo(id) <= 0);
            if (startsBefore) low = middle;
            else high = middle - 1;
            visited++;
        }
        return low;
    }

    private int placeIn(Block block, int key, String id) {
        int low = 0;
        int high = block.size;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (block.isBefore(middle, key, id)) low = middle + 1;
            else high = middle;
            visited++;
        }
        return low;
    }

    private void moveRanksFrom(int at, int by) {
        for (int i = at; i < blockCount; i++) firstRanks[i] += by;
    }

    private void shiftBlocks(int from, int to) {
        System.arraycopy(blocks, from, blocks, to, blockCount - from);
        System.arraycopy(firstKeys, from, firstKeys, to, blockCount - from);
        System.arraycopy(firstRanks, from, firstRanks, to, blockCount - from);
    }
}
