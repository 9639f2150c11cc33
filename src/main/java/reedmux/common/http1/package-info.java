/**
 * HTTP/1.1 messages on a {@link reedmux.common.eventloop.Connection}, parsed strictly by RFC 9112. Messages whose
 * boundaries two parsers might interpret differently are rejected to prevent request smuggling. The gatekeeper uses the
 * grammar of single lines ({@link reedmux.common.http1.Http1Grammar}, {@link reedmux.common.http1.HostName}) as well.
 * The package is independent of the meaning of requests.
 */
package reedmux.common.http1;
