/**
 * What client and host connections share in reading HTTP/1.1 messages: strict headers, the names of request headers,
 * bodies and their limits. Depends on Netty alone. Everything here belongs to the event loop of its connection.
 */
package caperrudder.server.http;
