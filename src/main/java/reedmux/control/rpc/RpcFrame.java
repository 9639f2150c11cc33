package reedmux.control.rpc;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;

/**
 * An input over the bytes of one message from an untrusted sender. Kryo allocates the buffer of a string before it
 * checks that the frame contains that many bytes, so a corrupt length could exhaust the heap. This class rejects such a
 * length before anything is allocated.
 */
final class RpcFrame extends Input {
    /** Maximum absolute value of a count; far above any number of requests or tokens that a proxy reports. */
    private static final double MAX_COUNT = 1e15;

    RpcFrame(byte[] bytes) {
        super(bytes);
    }

    @Override
    public String readString() {
        int start = position();
        boolean hasLength = readVarIntFlag();
        if (hasLength) {
            int length = readVarIntFlag(true) - 1;
            int remaining = limit() - position();
            if (length < 0 || length > remaining) {
                throw new KryoException(
                        "string length " + length + " is invalid with " + remaining + " bytes remaining");
            }
        }
        setPosition(start);
        return super.readString();
    }

    /**
     * Returns the number if it is in the given range, both bounds included.
     *
     * @throws KryoException if the number is out of range
     */
    static long requireInRange(long min, long number, long max) {
        if (number < min || number > max) {
            throw new KryoException(number + " is not in the range from " + min + " to " + max);
        }
        return number;
    }

    /**
     * Returns the number if it is finite and its absolute value is at most {@link #MAX_COUNT}.
     *
     * @throws KryoException if the number is infinite, NaN or too large
     */
    static double requireFinite(double number) {
        if (!(Math.abs(number) <= MAX_COUNT)) {
            throw new KryoException(number + " is not a finite count in the supported range");
        }
        return number;
    }

    /** Returns the exception for an unknown message id. */
    static KryoException unknownId(byte id) {
        return new KryoException("unknown message id " + id);
    }
}
