/** A small HTTP/1.1 client on Netty that reports whether a request may have been sent and a response is complete. */
package org.boragebarrow.http.client;
