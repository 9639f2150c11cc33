package reedmux.gatekeeper.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import reedmux.common.http1.Http1Grammar;

/**
 * A connection's input buffer that validates each line before the library's parser processes it: the library accepts
 * lines that the standard forbids, and that another implementation might interpret differently.
 */
abstract class LineCheckingBuffer implements SessionInputBuffer {
    private SessionInputBuffer delegate;

    final LineCheckingBuffer wrap(SessionInputBuffer input) {
        delegate = input;
        return this;
    }

    /** Validates a complete line; an exception aborts the parsing. */
    abstract void checkLine(CharArrayBuffer line) throws IOException;

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
        boolean complete = delegate.readLine(line, endOfStream);
        if (complete) {
            checkLine(line);
        }
        return complete;
    }

    @Override
    public final boolean hasData() {
        return delegate.hasData();
    }

    @Override
    public final int length() {
        return delegate.length();
    }

    @Override
    public final int fill(ReadableByteChannel channel) throws IOException {
        return delegate.fill(channel);
    }

    @Override
    public final int read() {
        return delegate.read();
    }

    @Override
    public final int read(ByteBuffer destination, int maxBytes) {
        return delegate.read(destination, maxBytes);
    }

    @Override
    public final int read(ByteBuffer destination) {
        return delegate.read(destination);
    }

    @Override
    public final int read(WritableByteChannel destination, int maxBytes) throws IOException {
        return delegate.read(destination, maxBytes);
    }

    @Override
    public final int read(WritableByteChannel destination) throws IOException {
        return delegate.read(destination);
    }

    /** Validates the lines of a request's head. */
    static final class HeadLineChecker extends LineCheckingBuffer {
        /** Thrown if a line violates the grammar; the message describes the violation. */
        static final class MalformedLineException extends IOException {
            private static final long serialVersionUID = 1;

            MalformedLineException(String problem) {
                super(problem);
            }
        }

        private boolean firstLine = true;

        void reset() {
            firstLine = true;
        }

        @Override
        void checkLine(CharArrayBuffer line) throws MalformedLineException {
            if (line.isEmpty()) {
                return; // the end of the head, or one of the empty lines that may precede it
            }
            String problem = firstLine ? Http1Grammar.checkRequestLine(line) : Http1Grammar.checkFieldLine(line);
            firstLine = false;
            if (problem != null) {
                throw new MalformedLineException(problem);
            }
        }
    }

    /** Validates the lines of a chunked body; after an error all further input is discarded. */
    static final class ChunkLineChecker extends LineCheckingBuffer {
        private enum ChunkState {
            SIZE,
            END_OF_CHUNK,
            TRAILER,
            FAILED
        }

        /** Listener for the first error in a body; called at most once. */
        interface ChunkErrorListener {
            void onChunkError(String problem);
        }

        private final ChunkErrorListener errorListener;
        private ChunkState state = ChunkState.SIZE;

        ChunkLineChecker(ChunkErrorListener errorListener) {
            this.errorListener = errorListener;
        }

        @Override
        public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
            if (state == ChunkState.FAILED) {
                discard();
                return false;
            }
            boolean complete = false;
            try {
                complete = super.readLine(line, endOfStream);
            } catch (IOException e) { // the line exceeds the maximum length
                reportError("a line between chunks is too long");
            }
            if (state == ChunkState.FAILED) {
                line.clear();
                discard();
                return false;
            }
            return complete;
        }

        @Override
        void checkLine(CharArrayBuffer line) {
            switch (state) {
                case SIZE -> {
                    String problem = Http1Grammar.checkChunkLine(line);
                    if (problem != null) {
                        reportError(problem);
                    } else {
                        state = Http1Grammar.parseChunkSize(line) == 0 ? ChunkState.TRAILER : ChunkState.END_OF_CHUNK;
                    }
                }
                case END_OF_CHUNK -> {
                    if (line.isEmpty()) {
                        state = ChunkState.SIZE;
                    } else {
                        reportError("a chunk is longer than its size");
                    }
                }
                default -> {
                    String problem = line.isEmpty() ? null : Http1Grammar.checkFieldLine(line);
                    if (problem != null) {
                        reportError(problem);
                    }
                }
            }
        }

        private void reportError(String problem) {
            state = ChunkState.FAILED;
            errorListener.onChunkError(problem);
        }

        private void discard() {
            if (hasData()) {
                read(ByteBuffer.allocate(length()));
            }
        }
    }
}
