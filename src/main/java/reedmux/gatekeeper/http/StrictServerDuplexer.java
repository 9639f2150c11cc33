package reedmux.gatekeeper.http;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** The library's HTTP/1.1 protocol state of a server connection, with strict parsing of heads and chunked bodies. */
final class StrictServerDuplexer extends ServerHttp1StreamDuplexer {
    private static final DefaultHttpResponseWriterFactory RESPONSE_WRITERS =
            new DefaultHttpResponseWriterFactory(HttpTransport.HTTP1_CONFIG);

    private final ConsumerConnection connection;

    StrictServerDuplexer(
            ProtocolIOSession session,
            ConsumerConnection connection,
            StrictHeadParsers.StrictRequestParser requestParser) {
        super(
                session,
                HttpTransport.NO_ADDED_HEADERS,
                (request, context) -> connection.createExchange(),
                null,
                HttpTransport.HTTP1_CONFIG,
                null,
                connection,
                requestParser,
                RESPONSE_WRITERS.create(),
                null,
                null,
                connection,
                null);
        this.connection = connection;
    }

    @Override
    protected ContentDecoder createContentDecoder(
            long length, ReadableByteChannel channel, SessionInputBuffer buffer, BasicHttpTransportMetrics metrics)
            throws HttpException {
        if (length != ContentLengthStrategy.CHUNKED) {
            return super.createContentDecoder(length, channel, buffer, metrics);
        }
        LineCheckingBuffer checked = new LineCheckingBuffer.ChunkLineChecker(connection::onChunkError).wrap(buffer);
        return new ChunkDecoder(channel, checked, HttpTransport.HTTP1_CONFIG, metrics);
    }
}
