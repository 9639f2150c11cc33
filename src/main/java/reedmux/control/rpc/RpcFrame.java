package reedmux.control.rpc;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;

/**
 * The bytes of one message, which may be anybody's: a text that says it is longer than what is left, or
 * that it is none, is refused before there is room made for it. Kryo makes that room first, and a process
 * that runs out of memory by it ends.
 */
final class RpcFrame extends Input {

    RpcFrame(byte[] bytes) {
        super(bytes);
    }

    @Override
    public String readString() {
        int at = position();
        if (readVarIntFlag()) {
            int length = readVarIntFlag(true) - 1;
            if (length < 0 || length > limit() - position()) {
                throw new KryoException("a text of " + length + " characters in " + (limit() - position()) + " bytes");
            }
        }
        setPosition(at);
        return super.readString();
    }

    /** A number that has to lie within bounds. */
    static long requireInRange(long least, long number, long most) {
        if (number < least || number > most) {
            throw new KryoException(number + " is not from " + least + " to " + most);
        }
        return number;
    }

    /** A number that is one, and no larger than any that is ever told. */
    static double requireFinite(double number) {
        if (!(Math.abs(number) <= 1e15)) {
            throw new KryoException(number + " is no number that is told");
        }
        return number;
    }
}
