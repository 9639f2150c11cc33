package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes lists of strings and numbers: the size as a varint, followed by the elements. */
final class ListSerializer {
    /**
     * Maximum number of elements allocated in advance, so that a corrupt size cannot exhaust the heap. A larger list
     * grows while its elements are read.
     */
    private static final int MAX_INITIAL_CAPACITY = 1024;

    private ListSerializer() {}

    /** Returns an empty list with the announced capacity, limited to {@link #MAX_INITIAL_CAPACITY}. */
    static <T> ArrayList<T> newList(int announcedSize) {
        return new ArrayList<>(Math.min(announcedSize, MAX_INITIAL_CAPACITY));
    }

    static void writeStrings(List<String> strings, Output out) {
        out.writeVarInt(strings.size(), true);
        for (String string : strings) {
            out.writeString(string);
        }
    }

    static List<String> readStrings(Input in) {
        int size = in.readVarInt(true);
        List<String> strings = newList(size);
        for (int i = 0; i < size; i++) {
            strings.add(in.readString());
        }
        return strings;
    }

    /** Writes each integer as a varint. */
    static void writeInts(List<Integer> numbers, Output out) {
        out.writeVarInt(numbers.size(), true);
        for (int number : numbers) {
            out.writeVarInt(number, true);
        }
    }

    static List<Integer> readInts(Input in) {
        int size = in.readVarInt(true);
        List<Integer> numbers = newList(size);
        for (int i = 0; i < size; i++) {
            numbers.add(in.readVarInt(true));
        }
        return numbers;
    }

    /** Writes each number as eight bytes, because digests use all 64 bits. */
    static void writeLongs(List<Long> numbers, Output out) {
        out.writeVarInt(numbers.size(), true);
        for (long number : numbers) {
            out.writeLong(number);
        }
    }

    static List<Long> readLongs(Input in) {
        int size = in.readVarInt(true);
        List<Long> numbers = newList(size);
        for (int i = 0; i < size; i++) {
            numbers.add(in.readLong());
        }
        return numbers;
    }
}
