/**
 * A small HTTP/1.1 client on Netty. It reports whether a request may have been sent, and whether its response is
 * complete.
 */
package org.boragebarrow.http.client;
