package reedmux.control.rpc;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;

/**
 * The bytes of one message from an untrusted sender. Kryo allocates room for a string before it looks whether the frame
 * has as many bytes, so a corrupt length could exhaust the heap; here such a length is rejected first.
 */
final class RpcFrame extends Input {
    /** Far above any count of requests or tokens that a proxy reports. */
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
                throw new KryoException("a string of " + length + " characters in " + remaining + " bytes");
            }
        }
        setPosition(start);
        return super.readString();
    }

    /**
     * Returns a number that has to lie within bounds, both included.
     *
     * @throws KryoException if it does not
     */
    static long requireInRange(long min, long number, long max) {
        if (number < min || number > max) {
            throw new KryoException(number + " is not from " + min + " to " + max);
        }
        return number;
    }

    /**
     * Returns a count that has to be a number, and not larger than any that is sent.
     *
     * @throws KryoException if it is not
     */
    static double requireFinite(double number) {
        if (!(Math.abs(number) <= MAX_COUNT)) {
            throw new KryoException(number + " is not a finite count");
        }
        return number;
    }

    /** Returns the exception for a message id that no form has. */
    static KryoException unknownId(byte id) {
        return new KryoException("no message has the id " + id);
    }
}
