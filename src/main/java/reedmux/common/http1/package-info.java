/**
 * HTTP/1.1 messages on an event loop's {@link reedmux.common.eventloop.Connection}, read strictly by RFC 9112: what two
 * readers might frame differently is rejected, so that no request can be smuggled in another. The grammar of single
 * lines ({@link reedmux.common.http1.Http1Grammar}, {@link reedmux.common.http1.HostName}) is the gatekeeper's as well.
 * Knows nothing of what requests mean.
 */
package reedmux.common.http1;
