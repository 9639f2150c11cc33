package reedmux.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * A connection's input as the library's parsers see it, with a look at each line before they do. The library
 * reads the lines, bounds them and makes messages of them; what it would let through is stopped here.
 */
abstract class StrictInput implements SessionInputBuffer {
    private SessionInputBuffer in;

    final StrictInput of(SessionInputBuffer input) {
        in = input;
        return this;
    }

    /** Looks at a whole line; where it is at fault, whatever this throws ends the parsing. */
    abstract void look(CharArrayBuffer line) throws IOException;

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
        boolean whole = in.readLine(line, endOfStream);
        if (whole) {
            look(line);
        }
        return whole;
    }

    @Override
    public final boolean hasData() {
        return in.hasData();
    }

    @Override
    public final int length() {
        return in.length();
    }

    @Override
    public final int fill(ReadableByteChannel channel) throws IOException {
        return in.fill(channel);
    }

    @Override
    public final int read() {
        return in.read();
    }

    @Override
    public final int read(ByteBuffer to, int most) {
        return in.read(to, most);
    }

    @Override
    public final int read(ByteBuffer to) {
        return in.read(to);
    }

    @Override
    public final int read(WritableByteChannel to, int most) throws IOException {
        return in.read(to, most);
    }

    @Override
    public final int read(WritableByteChannel to) throws IOException {
        return in.read(to);
    }

    /** The lines of a request's head. */
    static final class Head extends StrictInput {
        /** A line that is at fault. */
        static final class BadLine extends IOException {
            private static final long serialVersionUID = 1;

            BadLine(String problem) {
                super(problem);
            }
        }

        private boolean first = true;

        void begin() {
            first = true;
        }

        @Override
        void look(CharArrayBuffer line) throws BadLine {
            if (line.isEmpty()) {
                return; // the head's end, or one of the few that may come before it
            }
            String problem = first ? Grammar.requestLine(line) : Grammar.fieldLine(line);
            first = false;
            if (problem != null) {
                throw new BadLine(problem);
            }
        }
    }

    /** The lines of a chunked body. One at fault ends the reading; nothing behind it is read as anything. */
    static final class Chunks extends StrictInput {
        private enum Next {
            SIZE,
            END_OF_CHUNK,
            TRAILER,
            NOTHING
        }

        /** Hears what is wrong, once. */
        interface Fault {
            void found(String problem);
        }

        private final Fault fault;
        private Next next = Next.SIZE;

        Chunks(Fault fault) {
            this.fault = fault;
        }

        @Override
        public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
            if (next == Next.NOTHING) {
                discard();
                return false;
            }
            boolean whole = false;
            try {
                whole = super.readLine(line, endOfStream);
            } catch (IOException e) { // it is longer than any line may be
                fail("a line between chunks is too long");
            }
            if (next == Next.NOTHING) {
                line.clear();
                discard();
                return false;
            }
            return whole;
        }

        @Override
        void look(CharArrayBuffer line) {
            switch (next) {
                case SIZE -> {
                    String problem = Grammar.chunkLine(line);
                    if (problem != null) {
                        fail(problem);
                    } else {
                        next = Grammar.chunkSize(line) == 0 ? Next.TRAILER : Next.END_OF_CHUNK;
                    }
                }
                case END_OF_CHUNK -> {
                    if (line.isEmpty()) {
                        next = Next.SIZE;
                    } else {
                        fail("a chunk is longer than its size");
                    }
                }
                default -> {
                    String problem = line.isEmpty() ? null : Grammar.fieldLine(line);
                    if (problem != null) {
                        fail(problem);
                    }
                }
            }
        }

        private void fail(String problem) {
            next = Next.NOTHING;
            fault.found(problem);
        }

        private void discard() {
            if (hasData()) {
                read(ByteBuffer.allocate(length()));
            }
        }
    }
}
