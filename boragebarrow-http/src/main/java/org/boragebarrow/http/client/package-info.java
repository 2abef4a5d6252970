/** A small HTTP/1.1 client on Netty that tells exactly whether a request may have left and whether an answer is whole. */
package org.boragebarrow.http.client;
