package reedmux.common.http1;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A message body of unknown size that is gathered in blocks. It needs at most a few times the memory of its content,
 * however small the pieces are that it arrives in, and never copies what it already holds. Not thread-safe.
 */
public final class BodyBuffer {
    /** Size of the blocks in which small pieces are gathered; larger pieces become blocks themselves. */
    private static final int BLOCK_BYTES = 16 * 1024;

    private static final int MIN_BLOCK_BYTES = 256;
    private static final int MIN_OWN_BLOCK_BYTES = BLOCK_BYTES / 2;
    /** Memory of an array besides its content, and of its place in the list. */
    private static final int BLOCK_OVERHEAD_BYTES = 24;

    private final List<byte[]> blocks = new ArrayList<>();
    /** The number of bytes in use of the last block. */
    private int lastBlockBytes;

    private long length;
    private long heldBytes;

    /** Appends bytes; the buffer takes ownership of the array. */
    public void append(byte[] bytes) {
        length += bytes.length;
        if (blocks.isEmpty() || bytes.length >= MIN_OWN_BLOCK_BYTES) {
            addBlock(bytes, bytes.length);
            return;
        }
        int copied = appendToLastBlock(bytes);
        int rest = bytes.length - copied;
        if (rest > 0) {
            byte[] block = new byte[nextBlockBytes(rest)];
            System.arraycopy(bytes, copied, block, 0, rest);
            addBlock(block, rest);
        }
    }

    /** Copies as many bytes as the last block has room for, and returns their number. */
    private int appendToLastBlock(byte[] bytes) {
        byte[] last = blocks.get(blocks.size() - 1);
        int count = Math.min(bytes.length, last.length - lastBlockBytes);
        System.arraycopy(bytes, 0, last, lastBlockBytes, count);
        lastBlockBytes += count;
        return count;
    }

    /** Returns the size of the next block: as large as the content so far, within the bounds. */
    private int nextBlockBytes(int needed) {
        long wanted = Math.max(MIN_BLOCK_BYTES, Math.min(BLOCK_BYTES, length));
        return (int) Math.max(needed, wanted);
    }

    private void addBlock(byte[] block, int usedBytes) {
        trimLastBlock();
        blocks.add(block);
        lastBlockBytes = usedBytes;
        heldBytes += block.length + BLOCK_OVERHEAD_BYTES;
    }

    /** Releases the unused part of the last block, because blocks before the last one are full. */
    private void trimLastBlock() {
        int last = blocks.size() - 1;
        if (last >= 0 && lastBlockBytes < blocks.get(last).length) {
            heldBytes -= blocks.get(last).length - lastBlockBytes;
            blocks.set(last, Arrays.copyOf(blocks.get(last), lastBlockBytes));
        }
    }

    /** Returns the number of bytes that were appended, including those of removed blocks. */
    public long length() {
        return length;
    }

    /** Returns the memory that this buffer occupies, in bytes. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns the content in order; the blocks must not be modified, and nothing may be appended afterwards. */
    public List<byte[]> takeBlocks() {
        trimLastBlock();
        lastBlockBytes = blocks.isEmpty() ? 0 : blocks.get(blocks.size() - 1).length;
        return blocks;
    }

    /** Removes the first block and returns it, or returns null if the buffer is empty. */
    public byte[] removeFirstBlock() {
        if (blocks.isEmpty()) {
            return null;
        }
        if (blocks.size() == 1) {
            trimLastBlock();
        }
        byte[] first = blocks.remove(0);
        heldBytes -= first.length + BLOCK_OVERHEAD_BYTES;
        return first;
    }

    /**
     * Returns the block that begins at an offset from the start, or null if the content ends there. No block may have
     * been removed; the block must not be modified, and nothing may be appended afterwards.
     */
    public byte[] blockAt(long offset) {
        long blockStart = 0;
        for (byte[] block : takeBlocks()) {
            if (blockStart == offset) {
                return block;
            }
            blockStart += block.length;
        }
        return null;
    }

    /** Removes all blocks. */
    public void clear() {
        blocks.clear();
        heldBytes = 0;
    }

    /** Returns a copy of the content in one array, or the content itself if it is a single block. */
    public byte[] toByteArray() {
        List<byte[]> parts = takeBlocks();
        if (parts.size() == 1) {
            return parts.get(0);
        }
        byte[] joined = new byte[parts.stream().mapToInt(part -> part.length).sum()];
        int position = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, joined, position, part.length);
            position += part.length;
        }
        return joined;
    }
}
