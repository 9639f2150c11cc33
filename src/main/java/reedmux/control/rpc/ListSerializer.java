package reedmux.control.rpc;

import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import java.util.ArrayList;
import java.util.List;

/** The forms of lists of plain values: the size as a varint, then the elements. */
final class ListSerializer {
    /** A larger list grows as its elements are read, so that a corrupt size allocates no more than this. */
    private static final int MAX_INITIAL_CAPACITY = 1024;

    private ListSerializer() {}

    /** Returns an empty list with room for as many elements as a frame announces, within reason. */
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

    /** Writes integers, each as a varint. */
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

    /** Writes long integers, each in eight bytes, as digests use them all. */
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
