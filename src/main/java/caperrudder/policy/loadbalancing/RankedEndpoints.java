package caperrudder.policy.loadbalancing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/**
 * A list of endpoints sorted by a key and then by host id, with access by rank. It is stored in blocks, so that adding
 * or removing an endpoint moves only those of one block. Look-ups by id or by rank take logarithmic time. Keys are
 * stored in arrays of ints, so that the list takes about 12 bytes per endpoint.
 */
final class RankedEndpoints {
    private static final int BLOCK_CAPACITY = 256; // a block is split when it is full
    private static final int INITIAL_BLOCK_CAPACITY = 4; // small, since most cells have few endpoints

    private Block[] blocks = {new Block(INITIAL_BLOCK_CAPACITY)};
    private int[] firstKeys = new int[1]; // the key of each block's first endpoint
    private int[] firstRanks = new int[1]; // the rank of each block's first endpoint
    private int blockCount = 1;
    private int size;
    private long visitedCount;

    /** Consecutive endpoints of the list, in arrays that grow up to {@link #BLOCK_CAPACITY}. */
    private static final class Block {
        private int[] keys;
        private Endpoint[] endpoints;
        private int size;

        Block(int capacity) {
            keys = new int[capacity];
            endpoints = new Endpoint[capacity];
        }

        private boolean isBefore(int i, int key, String id) {
            return keys[i] < key || (keys[i] == key && endpoints[i].id().compareTo(id) < 0);
        }

        private boolean contains(int i, int key, String id) {
            return i < size && keys[i] == key && endpoints[i].id().equals(id);
        }

        private void insert(int i, int key, Endpoint endpoint) {
            if (size == keys.length) {
                int capacity = Math.min(BLOCK_CAPACITY, 2 * size);
                keys = Arrays.copyOf(keys, capacity);
                endpoints = Arrays.copyOf(endpoints, capacity);
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

        /** Moves the upper half of the endpoints to a new block, and returns that block. */
        private Block split() {
            int half = size / 2;
            Block upper = new Block(BLOCK_CAPACITY);
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

    /** Returns the number of endpoints compared, copied or iterated over so far, a measure of the cost of look-ups. */
    long visitedCount() {
        return visitedCount;
    }

    /** Returns the endpoint with this key and host id, or null if there is none. */
    Endpoint find(int key, String id) {
        Block block = blocks[blockOf(key, id)];
        int i = positionIn(block, key, id);
        return block.contains(i, key, id) ? block.endpoints[i] : null;
    }

    /** Adds an endpoint. The list must not contain one with the same host id. */
    void add(int key, Endpoint endpoint) {
        int at = blockOf(key, endpoint.id());
        Block block = blocks[at];
        block.insert(positionIn(block, key, endpoint.id()), key, endpoint);
        firstKeys[at] = block.keys[0];
        addToFirstRanks(at + 1, 1);
        size++;
        if (block.size == BLOCK_CAPACITY) split(at);
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

    /** Removes an endpoint; does nothing if the list does not contain this object. */
    void remove(int key, Endpoint endpoint) {
        int at = blockOf(key, endpoint.id());
        Block block = blocks[at];
        int i = positionIn(block, key, endpoint.id());
        if (i == block.size || block.endpoints[i] != endpoint) return;
        block.delete(i);
        addToFirstRanks(at + 1, -1);
        size--;
        if (block.size > 0) firstKeys[at] = block.keys[0];
        if (block.size > 0 || blockCount == 1) return;
        shiftBlocks(at + 1, at);
        blocks[--blockCount] = null;
    }

    /** Returns the number of endpoints with a smaller key. */
    int rankOfKey(int key) {
        int at = blockOf(key, ""); // "" precedes all ids
        return firstRanks[at] + positionIn(blocks[at], key, "");
    }

    /** Returns the endpoint with this rank, from 0 to {@link #size} - 1. */
    Endpoint get(int rank) {
        int at = blockAt(rank);
        visitedCount++;
        return blocks[at].endpoints[rank - firstRanks[at]];
    }

    /** Appends up to {@code count} endpoints, from this rank on, to {@code target}. */
    void copyTo(int rank, int count, List<Endpoint> target) {
        int at = blockAt(rank);
        int remaining = count;
        for (int i = rank - firstRanks[at]; remaining > 0 && at < blockCount; at++, i = 0) {
            Block block = blocks[at];
            for (; i < block.size && remaining > 0; i++, remaining--) target.add(block.endpoints[i]);
        }
        visitedCount += count - remaining;
    }

    /**
     * Returns {@code count} endpoints of the concatenated lists, from a rank on, wrapping around at the end. The lists
     * must contain at least as many.
     */
    static List<Endpoint> copyCircular(Collection<RankedEndpoints> lists, int rank, int count) {
        List<Endpoint> endpoints = new ArrayList<>(count);
        copyTo(lists, rank, count, endpoints);
        copyTo(lists, 0, count - endpoints.size(), endpoints);
        return endpoints;
    }

    private static void copyTo(Collection<RankedEndpoints> lists, int rank, int count, List<Endpoint> target) {
        int skip = rank;
        int finalSize = target.size() + count;
        for (RankedEndpoints list : lists) {
            if (target.size() == finalSize) return;
            if (skip < list.size()) list.copyTo(skip, finalSize - target.size(), target);
            skip = Math.max(0, skip - list.size());
        }
    }

    void forEach(Consumer<Endpoint> action) {
        for (int at = 0; at < blockCount; at++) {
            for (int i = 0; i < blocks[at].size; i++) action.accept(blocks[at].endpoints[i]);
        }
        visitedCount += size;
    }

    /** Returns the index of the block that contains the endpoint with this rank. */
    private int blockAt(int rank) {
        int at = Arrays.binarySearch(firstRanks, 0, blockCount, rank);
        return at < 0 ? -at - 2 : at;
    }

    /** Returns the index of the last block that starts at or before this key and id, or 0 if there is none. */
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
            visitedCount++;
        }
        return low;
    }

    /** Returns the index in the block at which this key and id are, or would be inserted. */
    private int positionIn(Block block, int key, String id) {
        int low = 0;
        int high = block.size;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (block.isBefore(middle, key, id)) low = middle + 1;
            else high = middle;
            visitedCount++;
        }
        return low;
    }

    private void addToFirstRanks(int firstBlock, int delta) {
        for (int i = firstBlock; i < blockCount; i++) firstRanks[i] += delta;
    }

    private void shiftBlocks(int from, int to) {
        System.arraycopy(blocks, from, blocks, to, blockCount - from);
        System.arraycopy(firstKeys, from, firstKeys, to, blockCount - from);
        System.arraycopy(firstRanks, from, firstRanks, to, blockCount - from);
    }
}
