/**
 * Connections of clients: accepting and evicting them, reading requests, inbound flow control and writing responses.
 * Knows of the rest of the gateway only {@link caperrudder.server.downstream.RequestHandler}, to which it hands requests,
 * and depends on {@code server.http}, {@code server.runtime} and {@code api}. Everything runs on the one event loop.
 */
package caperrudder.server.downstream;
