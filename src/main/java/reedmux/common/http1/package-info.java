/**
 * HTTP/1.1 messages as they come and go over a net.Wire, to the letter of RFC 9112; what can be read in
 * two ways is refused. Knows nothing of requests' meaning.
 */
package reedmux.common.http1;
